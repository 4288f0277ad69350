package org.tamaracktrack.core.rate;

/**
 * A token bucket that admits a number of requests per second, with bursts of up to one second's
 * worth. Thread-safe.
 */
public final class RequestRateLimiter {
    private static final double MILLIS_PER_SECOND = 1_000;

    private double usedTokens;
    private long updatedAtMillis;

    private RequestRateLimiter(long nowMillis) {
        this.updatedAtMillis = nowMillis;
    }

    /**
     * Returns a limiter that admits a full burst.
     *
     * @param nowMillis the time in milliseconds
     * @return the limiter
     */
    public static RequestRateLimiter full(long nowMillis) {
        return new RequestRateLimiter(nowMillis);
    }

    /**
     * Acquires permission for one request.
     *
     * @param ratePerSecond the current rate in requests per second
     * @param nowMillis the time in milliseconds
     * @return false when the rate is exceeded
     */
    public synchronized boolean tryAcquire(double ratePerSecond, long nowMillis) {
        long elapsedMillis = Math.max(0, nowMillis - updatedAtMillis);
        updatedAtMillis = Math.max(updatedAtMillis, nowMillis);
        usedTokens = Math.max(0, usedTokens - elapsedMillis * ratePerSecond / MILLIS_PER_SECOND);
        double capacity = Math.max(1, ratePerSecond);
        if (usedTokens + 1 > capacity) {
            return false;
        }
        usedTokens += 1;
        return true;
    }
}
