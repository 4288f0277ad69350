package org.tamaracktrack.cli.report;

import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.tamaracktrack.core.error.ErrorCode;
import org.tamaracktrack.core.report.CounterName;
import org.tamaracktrack.core.report.RequestOutcome;

/** Totals of the requests and tokens of one client account, model or service, and request class. */
public final class ServiceRow {
    private final Map<RequestOutcome.Kind, Long> outcomes = new TreeMap<>();
    private final Map<ErrorCode, Long> refusals = new TreeMap<>();
    private long promptTokens;
    private long answerTokens;

    /**
     * Adds requests with an outcome.
     *
     * @param outcome the outcome
     * @param count the number to add
     */
    void add(RequestOutcome outcome, long count) {
        Objects.requireNonNull(outcome, "outcome is null");
        outcomes.merge(outcome.kind(), count, Long::sum);
        outcome.code().ifPresent(code -> refusals.merge(code, count, Long::sum));
    }

    /**
     * Adds tokens.
     *
     * @param kind whether the tokens are of prompts or of answers
     * @param count the number to add
     */
    void add(CounterName.TokenKind kind, long count) {
        if (kind == CounterName.TokenKind.PROMPT) {
            promptTokens += count;
        } else {
            answerTokens += count;
        }
    }

    /**
     * Returns the number of requests with an outcome.
     *
     * @param kind the outcome
     * @return the number
     */
    public long count(RequestOutcome.Kind kind) {
        return outcomes.getOrDefault(kind, 0L);
    }

    /**
     * Returns the number of requests that were offered and have no final outcome yet.
     *
     * @return the number
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
     * Returns the share of requests that met the limits of their request class. Requests that are
     * in progress or were cancelled by the caller are not counted.
     *
     * @return the share in percent with one decimal, or {@code -} if there are no such requests
     */
    public String attainment() {
        long counted =
                count(RequestOutcome.Kind.OFFERED)
                        - count(RequestOutcome.Kind.CANCELLED)
                        - inProgress();
        return counted <= 0
                ? "-"
                : "%.1f%%".formatted(100.0 * count(RequestOutcome.Kind.IN_CLASS) / counted);
    }

    /**
     * Returns the number of refusals for each reason.
     *
     * @return the pairs {@code reason:count}, separated by spaces
     */
    public String refusalReasons() {
        return refusals.entrySet().stream()
                .map(entry -> entry.getKey() + ":" + entry.getValue())
                .collect(Collectors.joining(" "));
    }

    /**
     * Returns the number of prompt tokens.
     *
     * @return the number
     */
    public long promptTokens() {
        return promptTokens;
    }

    /**
     * Returns the number of generated tokens.
     *
     * @return the number
     */
    public long answerTokens() {
        return answerTokens;
    }
}
