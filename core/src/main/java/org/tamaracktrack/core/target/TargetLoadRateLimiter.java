package org.tamaracktrack.core.target;

import org.tamaracktrack.core.config.Configuration;

/**
 * Limits the rate of loads that a target orders on its own, without a plan, to its static share of
 * the rate of the weight store. All targets together stay within that rate without coordination.
 */
public final class TargetLoadRateLimiter {
    private static final double MAX_TOKENS = 2;

    private final double tokensPerMilli;
    private double tokens = MAX_TOKENS;
    private long filledAtMillis;

    private TargetLoadRateLimiter(double perMilli, long nowMillis) {
        this.tokensPerMilli = perMilli;
        this.filledAtMillis = nowMillis;
    }

    /**
     * Returns the rate limiter of one target.
     *
     * @param configuration the configuration
     * @param nowMillis the current time by the monotonic clock
     * @return the rate limiter
     */
    public static TargetLoadRateLimiter of(Configuration configuration, long nowMillis) {
        long engines =
                configuration.targets().values().stream()
                        .filter(target -> target.kind() == Configuration.TargetKind.ENGINE)
                        .count();
        double perSecond = configuration.weightStore().loadsPerSecond() / Math.max(1, engines);
        return new TargetLoadRateLimiter(perSecond / 1_000, nowMillis);
    }

    /**
     * Takes a token for one load, if one is available.
     *
     * @param nowMillis the current time by the monotonic clock
     * @return false if no token is available
     */
    public boolean tryAcquire(long nowMillis) {
        refill(nowMillis);
        if (tokens < 1) {
            return false;
        }
        tokens--;
        return true;
    }

    /**
     * Returns the time until a load is allowed.
     *
     * @param nowMillis the current time by the monotonic clock
     * @return the time in milliseconds; 0 if a load is allowed now
     */
    public long waitMillis(long nowMillis) {
        refill(nowMillis);
        return tokens >= 1
                ? 0
                : Math.round(Math.ceil((1 - tokens) / Math.max(tokensPerMilli, 1e-9)));
    }

    private void refill(long nowMillis) {
        tokens = Math.min(MAX_TOKENS, tokens + (nowMillis - filledAtMillis) * tokensPerMilli);
        filledAtMillis = nowMillis;
    }
}
