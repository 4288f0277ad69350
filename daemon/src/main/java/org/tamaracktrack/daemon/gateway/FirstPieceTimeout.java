package org.tamaracktrack.daemon.gateway;

import org.tamaracktrack.core.route.Route;
import org.tamaracktrack.core.route.RouteKind;

/**
 * Computes how long a caller waits for the first piece of a response. A later one is of no use to
 * it.
 */
final class FirstPieceTimeout {
    /**
     * Callers of streams leave after this time without an event, or after four objectives if that
     * is longer.
     */
    private static final long MIN_STREAM_WAIT_MILLIS = 2_000;

    private static final long STREAM_WAIT_OBJECTIVES = 4;

    /** Reserved for the round trip to the target and for the first event. */
    private static final long MARGIN_MILLIS = 200;

    private FirstPieceTimeout() {}

    static long millis(Route route) {
        if (route.kind() != RouteKind.STREAMING) {
            return route.timeoutMillis();
        }
        long callerLeavesMillis =
                Math.max(MIN_STREAM_WAIT_MILLIS, STREAM_WAIT_OBJECTIVES * route.objectiveMillis());
        return Math.min(route.timeoutMillis(), callerLeavesMillis) - MARGIN_MILLIS;
    }
}
