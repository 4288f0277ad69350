package org.tamaracktrack.daemon.entry;

import java.util.OptionalLong;
import org.tamaracktrack.core.config.Configuration;
import org.tamaracktrack.core.message.Message;

/** When the parts of an answer came, for the objectives of the class. */
final class RequestTimes {
    private final long arrivedAtMillis;
    private OptionalLong firstAtMillis = OptionalLong.empty();
    private long sentAtMillis;

    private RequestTimes(long arrivedAtMillis) {
        this.arrivedAtMillis = arrivedAtMillis;
    }

    static RequestTimes arrived(long nowMillis) {
        return new RequestTimes(nowMillis);
    }

    void sent(long nowMillis) {
        sentAtMillis = nowMillis;
        firstAtMillis = OptionalLong.empty();
    }

    void firstPart(long nowMillis) {
        if (firstAtMillis.isEmpty()) {
            firstAtMillis = OptionalLong.of(nowMillis);
        }
    }

    long runMillis(long nowMillis, Message.Finished finished) {
        return Math.max(0, nowMillis - sentAtMillis - finished.queuedMillis());
    }

    /** Writes the spans of a whole answer and returns whether it kept its class. */
    boolean finished(
            EntryMetrics metrics, CallerRequest request, Message.Finished finished, long now) {
        Configuration.RequestClass objectives = request.requestClass();
        long total = now - arrivedAtMillis;
        metrics.time(EntryMetrics.Span.WAIT, request, finished.queuedMillis());
        metrics.time(EntryMetrics.Span.TOTAL, request, total);
        boolean inClass = total <= objectives.totalMillis();
        // An answer in one piece has no first token that its caller sees; its total is judged.
        if (request.stream() && firstAtMillis.isPresent()) {
            long first = firstAtMillis.getAsLong() - arrivedAtMillis;
            metrics.time(EntryMetrics.Span.FIRST_TOKEN, request, first);
            inClass &= first <= objectives.firstTokenMillis();
            if (finished.answerTokens() > 1) {
                double between =
                        (double) (now - firstAtMillis.getAsLong()) / (finished.answerTokens() - 1);
                metrics.time(EntryMetrics.Span.BETWEEN_TOKENS, request, between);
                inClass &= between <= objectives.betweenTokensMillis();
            }
        }
        return inClass;
    }
}
