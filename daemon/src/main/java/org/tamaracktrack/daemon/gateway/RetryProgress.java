package org.tamaracktrack.daemon.gateway;

import java.util.Optional;
import org.jboss.logging.Logger;
import org.tamaracktrack.core.dispatch.RetryAllowance;
import org.tamaracktrack.core.fleet.TargetEntry;

/**
 * Follows the retries of one request. The first send is free of charge; each further one is taken
 * from the retry allowance right before its first byte leaves, and counts until it has arrived.
 * Owned by the traffic thread.
 */
final class RetryProgress {
    private static final Logger LOG = Logger.getLogger("tamaracktrack.requests");

    private final GatewayContext context;
    private final String attempt;
    private boolean sentBefore;
    private long decidedMillis;
    private Optional<SentRetry> sent = Optional.empty();

    /** A retry that was sent and that its target has not answered yet. */
    private record SentRetry(RetryAllowance.Retry retry, TargetEntry target, long atMillis) {}

    private RetryProgress(GatewayContext context, String attempt) {
        this.context = context;
        this.attempt = attempt;
    }

    /**
     * Returns the progress of a request that was not sent yet.
     *
     * @param attempt the attempt id that the caller gave the request
     */
    static RetryProgress of(GatewayContext context, String attempt) {
        return new RetryProgress(context, attempt);
    }

    /** Returns the progress of a further send beside this one, which has been decided on now. */
    RetryProgress ofFurtherSend() {
        RetryProgress further = new RetryProgress(context, attempt);
        further.sentBefore = true;
        further.recordDecision();
        return further;
    }

    /** Records that a retry was decided on. */
    void recordDecision() {
        decidedMillis = context.nowMillis();
    }

    /**
     * Asks for permission to send the request to a target. Called right before its first byte.
     *
     * @return false if it was sent before and the retry allowance is exhausted
     */
    boolean tryBeginSending(TargetEntry target) {
        if (!sentBefore) {
            sentBefore = true;
            return true;
        }
        long nowMillis = context.nowMillis();
        Optional<RetryAllowance.Retry> acquired =
                context.retryAllowance(target.service()).tryAcquire(nowMillis);
        sent = acquired.map(retry -> new SentRetry(retry, target, nowMillis));
        sent.ifPresent(this::logSent);
        return sent.isPresent();
    }

    private void logSent(SentRetry retry) {
        long delayMillis = retry.atMillis() - decidedMillis;
        context.metrics().recordRetrySent(retry.target().service(), delayMillis);
        LOG.info(
                "event=retry-sent request="
                        + attempt
                        + " service="
                        + retry.target().service()
                        + " target="
                        + retry.target().incarnation()
                        + " decided_ms_ago="
                        + delayMillis);
    }

    /** Records that the target has begun to answer. */
    void recordAnswer() {
        sent.ifPresent(
                answered -> {
                    long nowMillis = context.nowMillis();
                    answered.retry().recordAnswer(nowMillis);
                    context.metrics()
                            .recordRetryAnswered(
                                    answered.target().service(), nowMillis - answered.atMillis());
                });
        sent = Optional.empty();
    }

    /** Records that the attempt has ended. */
    void recordEnd() {
        sent.ifPresent(ended -> ended.retry().recordEnd(context.nowMillis()));
        sent = Optional.empty();
    }
}
