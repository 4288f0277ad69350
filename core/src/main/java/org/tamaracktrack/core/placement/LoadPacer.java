package org.tamaracktrack.core.placement;

import org.tamaracktrack.core.config.Configuration.WeightStoreLimits;

/**
 * A token bucket for the loads that plans cause. Loads beyond the weight store's rate are turned
 * away there, and the targets that asked for them stand idle with memory reserved.
 */
final class LoadPacer {
    private double tokens;
    private long filledAtMillis;
    private boolean started;

    private LoadPacer() {}

    static LoadPacer full() {
        return new LoadPacer();
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

    // A copy with more adapters than the bucket holds could never be paid for in advance; it goes
    // when the bucket is full and leaves a debt.
    boolean take(int loads, WeightStoreLimits limits) {
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
