package org.tamaracktrack.daemon.gateway;

import org.tamaracktrack.core.route.Route;
import org.tamaracktrack.core.route.RouteKind;

/** How long a caller waits for the first piece of an answer before it is of no use to it. */
final class Patience {
    /** Callers of streams leave after this long without an event, or four objectives. */
    private static final long STREAM_MILLIS = 2_000;

    private static final long OBJECTIVES = 4;

    /** What is kept for the way to the target and back, and for the first event. */
    private static final long MARGIN_MILLIS = 200;

    private Patience() {}

    static long millis(Route route) {
        if (route.kind() != RouteKind.STREAMING) {
            return route.timeoutMillis();
        }
        long leaves = Math.max(STREAM_MILLIS, OBJECTIVES * route.objectiveMillis());
        return Math.min(route.timeoutMillis(), leaves) - MARGIN_MILLIS;
    }
}
