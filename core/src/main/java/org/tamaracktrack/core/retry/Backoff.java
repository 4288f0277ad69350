package org.tamaracktrack.core.retry;

/**
 * Delays that double up to a bound, with jitter: half of the delay is fixed and half is drawn.
 *
 * @param firstMillis the bound of the first delay
 * @param longestMillis the bound of every delay
 */
public record Backoff(long firstMillis, long longestMillis) {
    private static final int MOST_DOUBLINGS = 20;
    private static final long STEP = 0x9e3779b97f4a7c15L;

    /**
     * Returns a back-off.
     *
     * @param firstMillis the bound of the first delay, 1 or more
     * @param longestMillis the bound of every delay
     * @return the back-off
     */
    public static Backoff of(long firstMillis, long longestMillis) {
        return new Backoff(firstMillis, longestMillis);
    }

    /**
     * Returns the delay after a number of failures.
     *
     * @param failures how many, from 1
     * @param seed decides the jitter
     * @return the delay, between half of the bound and the bound
     */
    public long delayMillis(int failures, long seed) {
        int doublings = Math.min(MOST_DOUBLINGS, Math.max(0, failures - 1));
        long bound = Math.min(longestMillis, firstMillis << doublings);
        long half = bound / 2;
        return half + Long.remainderUnsigned((seed ^ failures) * STEP >>> 7, bound - half + 1);
    }
}
