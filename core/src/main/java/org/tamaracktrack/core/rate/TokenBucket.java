package org.tamaracktrack.core.rate;

/** Admits a number of requests a second, and a second's worth of them at once. For any thread. */
public final class TokenBucket {
    private static final double MILLIS_PER_SECOND = 1_000;

    private double used;
    private long atMillis;

    private TokenBucket(long nowMillis) {
        this.atMillis = nowMillis;
    }

    /**
     * Returns a bucket from which nothing has been taken.
     *
     * @param nowMillis the time
     * @return the bucket
     */
    public static TokenBucket full(long nowMillis) {
        return new TokenBucket(nowMillis);
    }

    /**
     * Takes one request.
     *
     * @param ratePerSecond the rate in force now
     * @param nowMillis the time
     * @return false when the rate is used up
     */
    public synchronized boolean take(double ratePerSecond, long nowMillis) {
        long passed = Math.max(0, nowMillis - atMillis);
        atMillis = Math.max(atMillis, nowMillis);
        used = Math.max(0, used - passed * ratePerSecond / MILLIS_PER_SECOND);
        double most = Math.max(1, ratePerSecond);
        if (used + 1 > most) {
            return false;
        }
        used += 1;
        return true;
    }
}
