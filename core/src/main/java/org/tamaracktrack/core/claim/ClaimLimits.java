package org.tamaracktrack.core.claim;

/**
 * The times that claims go by.
 *
 * @param timeoutMillis a claim that has not been read back after this is given up
 * @param claimGapMillis the least time between two appends of claims
 * @param outcomeGapMillis the least time between two appends of outcomes
 * @param retryAfterMillis when a caller may try again while the log is out
 */
public record ClaimLimits(
        long timeoutMillis, long claimGapMillis, long outcomeGapMillis, long retryAfterMillis) {
    private static final long TIMEOUT_MILLIS = 3_000;
    private static final long CLAIM_GAP_MILLIS = 20;
    private static final long OUTCOME_GAP_MILLIS = 50;
    private static final long RETRY_AFTER_MILLIS = 2_000;

    /**
     * Returns the limits of a daemon: at most 70 appends a second.
     *
     * @return the limits
     */
    public static ClaimLimits standard() {
        return new ClaimLimits(
                TIMEOUT_MILLIS, CLAIM_GAP_MILLIS, OUTCOME_GAP_MILLIS, RETRY_AFTER_MILLIS);
    }
}
