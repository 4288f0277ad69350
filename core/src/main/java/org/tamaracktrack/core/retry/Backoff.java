package org.tamaracktrack.core.retry;

/**
 * Exponential back-off with jitter: the bound doubles up to a maximum, and the delay is between
 * half of the bound and the bound.
 *
 * @param firstMillis the bound of the first delay in milliseconds
 * @param maxMillis the bound of every delay in milliseconds
 */
public record Backoff(long firstMillis, long maxMillis) {
    private static final int MAX_DOUBLINGS = 20;
    private static final long HASH_MULTIPLIER = 0x9e3779b97f4a7c15L;

    /**
     * Returns a back-off.
     *
     * @param firstMillis the bound of the first delay in milliseconds, 1 or more
     * @param maxMillis the bound of every delay in milliseconds
     * @return the back-off
     */
    public static Backoff of(long firstMillis, long maxMillis) {
        return new Backoff(firstMillis, maxMillis);
    }

    /**
     * Returns the delay after a number of failures.
     *
     * @param failures the number of failures, from 1
     * @param seed seed of the jitter
     * @return the delay in milliseconds, between half of the bound and the bound
     */
    public long delayMillis(int failures, long seed) {
        int doublings = Math.min(MAX_DOUBLINGS, Math.max(0, failures - 1));
        long bound = Math.min(maxMillis, firstMillis << doublings);
        long half = bound / 2;
        return half
                + Long.remainderUnsigned(
                        (seed ^ failures) * HASH_MULTIPLIER >>> 7, bound - half + 1);
    }
}
