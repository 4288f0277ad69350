package org.tamaracktrack.core.claim;

/**
 * The timeouts and intervals of claims, in milliseconds.
 *
 * @param timeoutMillis how long a claim may take to be read back before it is abandoned
 * @param claimIntervalMillis the minimum interval between two appends of claims
 * @param outcomeIntervalMillis the minimum interval between two appends of outcomes
 * @param retryAfterMillis the delay after which a caller may retry while the log is unavailable
 */
public record ClaimLimits(
        long timeoutMillis,
        long claimIntervalMillis,
        long outcomeIntervalMillis,
        long retryAfterMillis) {
    private static final long TIMEOUT_MILLIS = 3_000;
    private static final long CLAIM_INTERVAL_MILLIS = 20;
    private static final long OUTCOME_INTERVAL_MILLIS = 50;
    private static final long RETRY_AFTER_MILLIS = 2_000;

    /**
     * Returns the limits of a daemon, which allow at most 70 appends a second.
     *
     * @return the limits
     */
    public static ClaimLimits standard() {
        return new ClaimLimits(
                TIMEOUT_MILLIS, CLAIM_INTERVAL_MILLIS, OUTCOME_INTERVAL_MILLIS, RETRY_AFTER_MILLIS);
    }
}
