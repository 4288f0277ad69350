package org.tamaracktrack.standins.http;

/** Limits a rate, with bursts. Not safe for use by several threads. */
public final class TokenBucket {
    private static final double MILLIS_PER_SECOND = 1000.0;

    private final double perSecond;
    private final double burst;
    private double tokens;
    private long atMillis;

    private TokenBucket(double perSecond, double burst, long nowMillis) {
        this.perSecond = perSecond;
        this.burst = burst;
        this.tokens = burst;
        this.atMillis = nowMillis;
    }

    /**
     * Returns a full bucket.
     *
     * @param perSecond the rate
     * @param burst how many may come at once
     * @param nowMillis the time
     * @return the bucket
     */
    public static TokenBucket of(double perSecond, double burst, long nowMillis) {
        return new TokenBucket(perSecond, burst, nowMillis);
    }

    /**
     * Takes one token if there is one.
     *
     * @param nowMillis the time
     * @return whether there was one
     */
    public boolean take(long nowMillis) {
        double gained = (nowMillis - atMillis) * perSecond / MILLIS_PER_SECOND;
        tokens = Math.min(burst, tokens + gained);
        atMillis = nowMillis;
        if (tokens < 1) {
            return false;
        }
        tokens--;
        return true;
    }
}
