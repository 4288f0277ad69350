package org.tamaracktrack.daemon.gateway;

import java.util.function.LongSupplier;
import org.tamaracktrack.core.route.Route;

/** The time that a request has. */
final class RequestTime {
    /** A caller that waits this long gives up; what is left must cover the way back to it. */
    private static final long WAY_BACK_MILLIS = 10;

    private final Route route;
    private final long arrivedMillis;
    private final long endsMillis;
    private final LongSupplier nowMillis;

    private RequestTime(Route route, long arrivedMillis, long endsMillis, LongSupplier nowMillis) {
        this.route = route;
        this.arrivedMillis = arrivedMillis;
        this.endsMillis = endsMillis;
        this.nowMillis = nowMillis;
    }

    static RequestTime of(
            Route route, RequestFacts facts, long arrivedMillis, LongSupplier nowMillis) {
        long callerWaits =
                Math.max(1, facts.waitMillis().orElse(route.timeoutMillis()) - WAY_BACK_MILLIS);
        long endsMillis = arrivedMillis + Math.min(route.timeoutMillis(), callerWaits);
        return new RequestTime(route, arrivedMillis, endsMillis, nowMillis);
    }

    long arrivedMillis() {
        return arrivedMillis;
    }

    long passedMillis() {
        return nowMillis.getAsLong() - arrivedMillis;
    }

    /** Until its end; negative after it. */
    long untilEndMillis() {
        return endsMillis - nowMillis.getAsLong();
    }

    long leftMillis() {
        return Math.max(1, untilEndMillis());
    }

    /** How long it may wait for its first piece. */
    long patienceMillis() {
        return Math.min(Patience.millis(route) - passedMillis(), leftMillis());
    }
}
