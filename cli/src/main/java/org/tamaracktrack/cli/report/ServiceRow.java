package org.tamaracktrack.cli.report;

import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.tamaracktrack.core.error.ErrorCode;
import org.tamaracktrack.core.report.CounterName;
import org.tamaracktrack.core.report.RequestOutcome;

/** What one client account got of one model or service in one request class. */
public final class ServiceRow {
    private final Map<RequestOutcome.Kind, Long> outcomes = new TreeMap<>();
    private final Map<ErrorCode, Long> refusals = new TreeMap<>();
    private long promptTokens;
    private long answerTokens;

    /**
     * Adds a counter of requests.
     *
     * @param outcome what became of them
     * @param count how many
     */
    void add(RequestOutcome outcome, long count) {
        Objects.requireNonNull(outcome, "outcome is null");
        outcomes.merge(outcome.kind(), count, Long::sum);
        outcome.code().ifPresent(code -> refusals.merge(code, count, Long::sum));
    }

    /**
     * Adds a counter of tokens.
     *
     * @param kind read or generated
     * @param count how many
     */
    void add(CounterName.TokenKind kind, long count) {
        if (kind == CounterName.TokenKind.PROMPT) {
            promptTokens += count;
        } else {
            answerTokens += count;
        }
    }

    /**
     * Returns the requests with an outcome.
     *
     * @param kind the outcome
     * @return how many
     */
    public long count(RequestOutcome.Kind kind) {
        return outcomes.getOrDefault(kind, 0L);
    }

    /**
     * Returns the requests that were offered and have no outcome yet.
     *
     * @return how many
     */
    public long inProgress() {
        long ended =
                outcomes.entrySet().stream()
                        .filter(entry -> entry.getKey() != RequestOutcome.Kind.OFFERED)
                        .mapToLong(Map.Entry::getValue)
                        .sum();
        return Math.max(0, count(RequestOutcome.Kind.OFFERED) - ended);
    }

    /**
     * Returns the requests served within their class, of those offered that have ended and that the
     * caller did not cancel.
     *
     * @return the part in percent with one decimal, or {@code -} when there are none
     */
    public String attainment() {
        long judged =
                count(RequestOutcome.Kind.OFFERED)
                        - count(RequestOutcome.Kind.CANCELLED)
                        - inProgress();
        return judged <= 0
                ? "-"
                : "%.1f%%".formatted(100.0 * count(RequestOutcome.Kind.IN_CLASS) / judged);
    }

    /**
     * Returns the refusals by reason.
     *
     * @return reasons and counts
     */
    public String refusalReasons() {
        return refusals.entrySet().stream()
                .map(entry -> entry.getKey() + ":" + entry.getValue())
                .collect(Collectors.joining(" "));
    }

    /**
     * Returns tokens read.
     *
     * @return how many
     */
    public long promptTokens() {
        return promptTokens;
    }

    /**
     * Returns tokens generated.
     *
     * @return how many
     */
    public long answerTokens() {
        return answerTokens;
    }
}
