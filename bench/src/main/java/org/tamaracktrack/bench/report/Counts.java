package org.tamaracktrack.bench.report;

/**
 * What one row counts.
 *
 * @param offered requests that came
 * @param whole requests answered whole, in time or late
 * @param refused requests that did not run
 * @param other requests that ended otherwise
 * @param answerTokens tokens of the answers; of a report also those of answers that broke off
 */
public record Counts(long offered, long whole, long refused, long other, long answerTokens) {
    static final Counts NONE = new Counts(0, 0, 0, 0, 0);

    Counts plus(Counts more) {
        return new Counts(
                offered + more.offered,
                whole + more.whole,
                refused + more.refused,
                other + more.other,
                answerTokens + more.answerTokens);
    }

    static Counts of(ObservedRequest seen) {
        return switch (seen.outcome()) {
            case WHOLE -> new Counts(1, 1, 0, 0, seen.answerTokens());
            case NOT_RUN -> new Counts(1, 0, 1, 0, 0);
            default -> new Counts(1, 0, 0, 1, 0);
        };
    }

    /** Whether a report says the same; it may count tokens of broken answers besides. */
    boolean agreesWith(Counts told) {
        boolean tokens =
                other == 0 ? answerTokens == told.answerTokens : answerTokens <= told.answerTokens;
        return offered == told.offered
                && whole == told.whole
                && refused == told.refused
                && other == told.other
                && tokens;
    }
}
