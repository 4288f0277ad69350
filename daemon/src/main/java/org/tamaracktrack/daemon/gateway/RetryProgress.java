package org.tamaracktrack.daemon.gateway;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.jboss.logging.Logger;
import org.tamaracktrack.core.dispatch.Delivery;
import org.tamaracktrack.core.dispatch.TargetActivity;
import org.tamaracktrack.core.fleet.TargetEntry;

/**
 * Follows the retries of one request. The first send is free of charge; each further one is taken
 * from the retry allowance right before its first byte leaves, and counts until all sends so far
 * have been read. Owned by the traffic thread.
 */
final class RetryProgress {
    private static final Logger LOG = Logger.getLogger("tamaracktrack.requests");

    private final GatewayContext context;
    private final String attempt;
    private final List<Delivery> deliveries;
    private boolean further;
    private long decidedMillis;
    private Optional<Send> unanswered = Optional.empty();

    /** A send that its target has not answered yet; the first one of a request is no retry. */
    private record Send(Delivery delivery, TargetEntry target, long atMillis, boolean retry) {}

    private RetryProgress(GatewayContext context, String attempt, List<Delivery> deliveries) {
        this.context = context;
        this.attempt = attempt;
        this.deliveries = deliveries;
    }

    /**
     * Returns the progress of a request that was not sent yet.
     *
     * @param attempt the attempt id that the caller gave the request
     */
    static RetryProgress of(GatewayContext context, String attempt) {
        return new RetryProgress(context, attempt, new ArrayList<>(1));
    }

    /** Returns the progress of a further send beside this one, which has been decided on now. */
    RetryProgress ofFurtherSend() {
        RetryProgress furtherSend = new RetryProgress(context, attempt, deliveries);
        furtherSend.further = true;
        furtherSend.recordDecision();
        return furtherSend;
    }

    /** Records that a retry was decided on. */
    void recordDecision() {
        decidedMillis = context.nowMillis();
    }

    /** Returns whether the request was sent before, so that a further send is a retry. */
    boolean wasSent() {
        return further || !deliveries.isEmpty();
    }

    /**
     * Asks for permission to send the request to a target. Called right before its first byte.
     *
     * @return the send; empty if the request was sent before and the retry allowance is exhausted
     */
    Optional<Delivery> tryBeginSending(TargetEntry target) {
        long nowMillis = context.nowMillis();
        boolean retry = wasSent();
        TargetActivity activity = context.activityOf(target);
        Delivery delivery = Delivery.to(activity);
        deliveries.add(delivery);
        if (retry && !context.retryAllowance(target.service()).tryAcquire(deliveries, nowMillis)) {
            deliveries.remove(delivery);
            return Optional.empty();
        }
        context.recordSend(target, activity);
        unanswered = Optional.of(new Send(delivery, target, nowMillis, retry));
        if (retry) {
            logRetry(target, nowMillis);
        }
        return unanswered.map(Send::delivery);
    }

    private void logRetry(TargetEntry target, long atMillis) {
        long delayMillis = atMillis - decidedMillis;
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

    /** Records that the target has begun to answer. */
    void recordAnswer() {
        unanswered.ifPresent(this::recordAnswer);
        unanswered = Optional.empty();
    }

    private void recordAnswer(Send answered) {
        long nowMillis = context.nowMillis();
        answered.delivery().recordAnswer(nowMillis);
        if (answered.retry()) {
            context.metrics()
                    .recordRetryAnswered(
                            answered.target().service(), nowMillis - answered.atMillis());
        }
    }

    /** Records that the attempt has ended. */
    void recordEnd() {
        unanswered.ifPresent(this::recordEnd);
        unanswered = Optional.empty();
    }

    private void recordEnd(Send ended) {
        long nowMillis = context.nowMillis();
        ended.delivery().recordClose(nowMillis);
        long silentMillis =
                context.loads().of(ended.target().incarnation()).millisSinceContact(nowMillis);
        context.metrics().recordUnansweredSend(ended.target().service(), ended.retry());
        LOG.info(
                "event=send-unanswered request="
                        + attempt
                        + " service="
                        + ended.target().service()
                        + " target="
                        + ended.target().incarnation()
                        + " retry="
                        + ended.retry()
                        + " sent_ms_ago="
                        + (nowMillis - ended.atMillis())
                        + " target_silent_ms="
                        + Math.min(silentMillis, nowMillis - ended.atMillis()));
    }
}
