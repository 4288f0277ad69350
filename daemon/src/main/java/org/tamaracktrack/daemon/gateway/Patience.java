package org.tamaracktrack.daemon.gateway;

import org.tamaracktrack.core.route.Route;

/** How long a request may wait in this daemon for a target that can run it. */
final class Patience {
    /** Callers of streams leave after this long without an event, or four objectives. */
    private static final long STREAM_MILLIS = 2_000;

    private static final long OBJECTIVES = 4;

    /** What is kept for the way to the target and its first event. */
    private static final double SHARE = 0.8;

    private Patience() {}

    static long millis(Route route) {
        return (long) (SHARE * Math.max(STREAM_MILLIS, OBJECTIVES * route.objectiveMillis()));
    }
}
