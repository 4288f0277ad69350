package org.tamaracktrack.daemon.gateway;

import org.jboss.logging.Logger;
import org.tamaracktrack.core.fleet.TargetEntry;

/**
 * Measures how long the retries of one request take from the decision to the first byte, and from
 * there to the first sign of the target. Owned by the traffic thread.
 */
final class RetryProgress {
    private static final Logger LOG = Logger.getLogger("tamaracktrack.requests");
    private static final long NONE = Long.MIN_VALUE;

    private final GatewayContext context;
    private final String attempt;
    private long decidedMillis = NONE;
    private long sentMillis = NONE;

    private RetryProgress(GatewayContext context, String attempt) {
        this.context = context;
        this.attempt = attempt;
    }

    /**
     * Returns the progress of a request that was not retried yet.
     *
     * @param attempt the attempt id that the caller gave the request
     */
    static RetryProgress of(GatewayContext context, String attempt) {
        return new RetryProgress(context, attempt);
    }

    /** Records that a retry was decided on. */
    void recordDecision() {
        decidedMillis = context.nowMillis();
    }

    /** Records that bytes are about to be sent to a target. */
    void recordSending(TargetEntry target) {
        if (decidedMillis == NONE) {
            return;
        }
        sentMillis = context.nowMillis();
        long delayMillis = sentMillis - decidedMillis;
        decidedMillis = NONE;
        context.metrics().recordRetrySent(target.service(), delayMillis);
        LOG.info(
                "event=retry-sent request="
                        + attempt
                        + " service="
                        + target.service()
                        + " target="
                        + target.incarnation()
                        + " decided_ms_ago="
                        + delayMillis);
    }

    /** Records the first sign that the target has received the request. */
    void recordArrival(TargetEntry target) {
        if (sentMillis != NONE) {
            context.metrics()
                    .recordRetryArrived(target.service(), context.nowMillis() - sentMillis);
            sentMillis = NONE;
        }
    }
}
