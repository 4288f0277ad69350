package org.tamaracktrack.daemon.entry;

import java.util.OptionalLong;
import org.tamaracktrack.core.config.Configuration;
import org.tamaracktrack.core.message.Message;

/** Tracks when the parts of an answer arrived, to check the objectives of the request class. */
final class RequestTimes {
    private final long arrivedAtMillis;
    private OptionalLong firstPartAtMillis = OptionalLong.empty();
    private long sentAtMillis;

    private RequestTimes(long arrivedAtMillis) {
        this.arrivedAtMillis = arrivedAtMillis;
    }

    static RequestTimes arrivedAt(long nowMillis) {
        return new RequestTimes(nowMillis);
    }

    void recordSent(long nowMillis) {
        sentAtMillis = nowMillis;
        firstPartAtMillis = OptionalLong.empty();
    }

    void recordPart(long nowMillis) {
        if (firstPartAtMillis.isEmpty()) {
            firstPartAtMillis = OptionalLong.of(nowMillis);
        }
    }

    /** Returns the time between sending the attempt and now, without the time in the queue. */
    long runMillis(long nowMillis, Message.Finished finished) {
        return Math.max(0, nowMillis - sentAtMillis - finished.queuedMillis());
    }

    /**
     * Records the durations of a complete answer and returns whether it met the objectives of its
     * request class.
     */
    boolean recordFinished(
            EntryMetrics metrics,
            CallerRequest request,
            Message.Finished finished,
            long nowMillis) {
        Configuration.RequestClass objectives = request.requestClass();
        long totalMillis = nowMillis - arrivedAtMillis;
        metrics.recordDuration(EntryMetrics.Span.WAIT, request, finished.queuedMillis());
        metrics.recordDuration(EntryMetrics.Span.TOTAL, request, totalMillis);
        boolean metObjectives = totalMillis <= objectives.totalMillis();
        // The caller of an answer that is not streamed sees no first token, so only the total time
        // is checked.
        if (request.streaming() && firstPartAtMillis.isPresent()) {
            long firstTokenMillis = firstPartAtMillis.getAsLong() - arrivedAtMillis;
            metrics.recordDuration(EntryMetrics.Span.FIRST_TOKEN, request, firstTokenMillis);
            metObjectives &= firstTokenMillis <= objectives.firstTokenMillis();
            if (finished.answerTokens() > 1) {
                double betweenTokensMillis =
                        (double) (nowMillis - firstPartAtMillis.getAsLong())
                                / (finished.answerTokens() - 1);
                metrics.recordDuration(
                        EntryMetrics.Span.BETWEEN_TOKENS, request, betweenTokensMillis);
                metObjectives &= betweenTokensMillis <= objectives.betweenTokensMillis();
            }
        }
        return metObjectives;
    }
}
