package org.tamaracktrack.daemon.gateway;

import java.util.function.LongSupplier;
import org.tamaracktrack.core.route.Route;

/** The time limits of a request. */
final class RequestDeadline {
    /**
     * A caller gives up after its timeout; this much of it is reserved for sending the response.
     */
    private static final long RESPONSE_MARGIN_MILLIS = 10;

    private final Route route;
    private final long arrivedMillis;
    private final long deadlineMillis;
    private final LongSupplier nowMillis;

    private RequestDeadline(
            Route route, long arrivedMillis, long deadlineMillis, LongSupplier nowMillis) {
        this.route = route;
        this.arrivedMillis = arrivedMillis;
        this.deadlineMillis = deadlineMillis;
        this.nowMillis = nowMillis;
    }

    static RequestDeadline of(
            Route route, RequestMetadata metadata, long arrivedMillis, LongSupplier nowMillis) {
        long callerTimeoutMillis =
                Math.max(
                        1,
                        metadata.waitMillis().orElse(route.timeoutMillis())
                                - RESPONSE_MARGIN_MILLIS);
        long deadlineMillis = arrivedMillis + Math.min(route.timeoutMillis(), callerTimeoutMillis);
        return new RequestDeadline(route, arrivedMillis, deadlineMillis, nowMillis);
    }

    long arrivedMillis() {
        return arrivedMillis;
    }

    long deadlineMillis() {
        return deadlineMillis;
    }

    long elapsedMillis() {
        return nowMillis.getAsLong() - arrivedMillis;
    }

    /** Returns the time until the deadline in milliseconds; negative after it. */
    long untilDeadlineMillis() {
        return deadlineMillis - nowMillis.getAsLong();
    }

    long remainingMillis() {
        return Math.max(1, untilDeadlineMillis());
    }

    /**
     * Returns how long the request may wait for the first piece of its response, in milliseconds.
     */
    long firstPieceTimeoutMillis() {
        return Math.min(FirstPieceTimeout.millis(route) - elapsedMillis(), remainingMillis());
    }
}
