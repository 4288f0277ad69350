package org.tamaracktrack.daemon.gateway;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * Looks for callers that have left while the traffic thread is late. Otherwise the thread would
 * read the ends of their connections behind the requests and answers of others, and targets would
 * work for nobody meanwhile. Owned by the traffic thread.
 */
final class DepartureMonitor {
    /** A thread that is late by more also reads its sockets late. */
    private static final long LATE_MILLIS = 50;

    private static final long INTERVAL_MILLIS = 100;

    private final GatewayContext context;
    private final Set<ForwardedRequest> requests = new LinkedHashSet<>();
    private long lastCheckMillis;

    DepartureMonitor(GatewayContext context) {
        this.context = context;
        this.lastCheckMillis = context.nowMillis();
    }

    void add(ForwardedRequest request) {
        requests.add(request);
    }

    void remove(ForwardedRequest request) {
        requests.remove(request);
    }

    /** Returns whether data may have waited unread, so that callers may have left unnoticed. */
    boolean isLate() {
        return context.threadDelayMillis() > LATE_MILLIS;
    }

    /**
     * Ends the requests whose callers have left, if the thread is late. Called before other work.
     */
    void checkIfLate() {
        long nowMillis = context.nowMillis();
        if (nowMillis - lastCheckMillis >= INTERVAL_MILLIS) {
            lastCheckMillis = nowMillis;
            if (isLate()) {
                List.copyOf(requests).forEach(ForwardedRequest::endIfCallerLeft);
            }
        }
    }
}
