package org.tamaracktrack.bench.trace;

import org.tamaracktrack.core.config.Configuration.WeightStoreLimits;

/**
 * A fake of the weight store. It starts loads at a limited rate; while more loads run than its
 * concurrency limit, they share its bandwidth equally.
 */
final class FakeWeightStore {
    private final WeightStoreLimits limits;
    private double tokens;
    private int runningLoads;

    FakeWeightStore(WeightStoreLimits limits) {
        this.limits = limits;
        this.tokens = limits.concurrentLoads();
    }

    void refill() {
        tokens = Math.min(limits.concurrentLoads(), tokens + limits.loadsPerSecond());
    }

    boolean tryStart() {
        if (tokens < 1) {
            return false;
        }
        tokens--;
        runningLoads++;
        return true;
    }

    void finish() {
        runningLoads--;
    }

    /** Returns the transfer rate of each load as a fraction of the full rate, at most 1. */
    double transferFraction() {
        return Math.min(1, (double) limits.concurrentLoads() / Math.max(1, runningLoads));
    }
}
