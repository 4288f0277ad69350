package org.tamaracktrack.core.placement;

import org.tamaracktrack.core.config.Configuration.WeightStoreLimits;

/**
 * Limits the rate of loads that plans cause, with a token bucket. The weight store rejects loads
 * beyond its rate, and the targets of rejected loads would hold reserved memory without use.
 */
final class PlanLoadRateLimiter {
    private double tokens;
    private long filledAtMillis;
    private boolean started;

    private PlanLoadRateLimiter() {}

    static PlanLoadRateLimiter full() {
        return new PlanLoadRateLimiter();
    }

    void refill(WeightStoreLimits limits, long nowMillis) {
        double gained =
                started
                        ? limits.loadsPerSecond() * (nowMillis - filledAtMillis) / 1_000
                        : limits.concurrentLoads();
        tokens = Math.min(limits.concurrentLoads(), tokens + gained);
        filledAtMillis = nowMillis;
        started = true;
    }

    // A copy with more adapters than the bucket holds could never gather enough tokens. It is
    // allowed when the bucket is full, and the token count becomes negative.
    boolean tryAcquire(int loads, WeightStoreLimits limits) {
        if (loads == 0) {
            return true;
        }
        if (tokens < Math.min(loads, limits.concurrentLoads())) {
            return false;
        }
        tokens -= loads;
        return true;
    }
}
