package org.tamaracktrack.bench.report;

/**
 * Request and token counts of one row of a report.
 *
 * @param offered number of requests that were sent
 * @param whole number of requests with a complete answer, within the limits of the class or late
 * @param refused number of requests that did not run
 * @param other number of requests that ended in another way
 * @param answerTokens number of answer tokens; a report also counts tokens of answers that were cut
 */
public record Counts(long offered, long whole, long refused, long other, long answerTokens) {
    static final Counts NONE = new Counts(0, 0, 0, 0, 0);

    Counts plus(Counts addend) {
        return new Counts(
                offered + addend.offered,
                whole + addend.whole,
                refused + addend.refused,
                other + addend.other,
                answerTokens + addend.answerTokens);
    }

    static Counts of(ObservedRequest request) {
        return switch (request.outcome()) {
            case WHOLE -> new Counts(1, 1, 0, 0, request.answerTokens());
            case NOT_RUN -> new Counts(1, 0, 1, 0, 0);
            default -> new Counts(1, 0, 0, 1, 0);
        };
    }

    /**
     * Returns whether reported counts agree with these counts of the callers. The report may count
     * additional answer tokens if there are requests in {@code other}, whose answers may have been
     * cut.
     */
    boolean agreesWith(Counts reported) {
        boolean tokensAgree =
                other == 0
                        ? answerTokens == reported.answerTokens
                        : answerTokens <= reported.answerTokens;
        return offered == reported.offered
                && whole == reported.whole
                && refused == reported.refused
                && other == reported.other
                && tokensAgree;
    }
}
