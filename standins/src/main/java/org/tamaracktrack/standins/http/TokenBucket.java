package org.tamaracktrack.standins.http;

/** A rate limiter that allows bursts. Not safe for use by several threads. */
public final class TokenBucket {
    private static final double MILLIS_PER_SECOND = 1000.0;

    private final double perSecond;
    private final double burst;
    private double tokens;
    private long refilledAtMillis;

    private TokenBucket(double perSecond, double burst, long nowMillis) {
        this.perSecond = perSecond;
        this.burst = burst;
        this.tokens = burst;
        this.refilledAtMillis = nowMillis;
    }

    /**
     * Returns a full bucket.
     *
     * @param perSecond the rate in tokens per second
     * @param burst the capacity of the bucket
     * @param nowMillis the current time in milliseconds
     * @return the bucket
     */
    public static TokenBucket of(double perSecond, double burst, long nowMillis) {
        return new TokenBucket(perSecond, burst, nowMillis);
    }

    /**
     * Takes a token if one is available.
     *
     * @param nowMillis the current time in milliseconds
     * @return whether a token was taken
     */
    public boolean tryTake(long nowMillis) {
        double refill = (nowMillis - refilledAtMillis) * perSecond / MILLIS_PER_SECOND;
        tokens = Math.min(burst, tokens + refill);
        refilledAtMillis = nowMillis;
        if (tokens < 1) {
            return false;
        }
        tokens--;
        return true;
    }
}
