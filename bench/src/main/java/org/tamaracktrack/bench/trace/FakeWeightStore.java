package org.tamaracktrack.bench.trace;

import org.tamaracktrack.core.config.Configuration.WeightStoreLimits;

/** Starts loads at a limited rate; above its concurrency all loads slow down together. */
final class FakeWeightStore {
    private final WeightStoreLimits limits;
    private double tokens;
    private int running;

    FakeWeightStore(WeightStoreLimits limits) {
        this.limits = limits;
        this.tokens = limits.concurrentLoads();
    }

    void second() {
        tokens = Math.min(limits.concurrentLoads(), tokens + limits.loadsPerSecond());
    }

    boolean start() {
        if (tokens < 1) {
            return false;
        }
        tokens--;
        running++;
        return true;
    }

    void end() {
        running--;
    }

    /** How much of a second's transfer each load gets done. */
    double speed() {
        return Math.min(1, (double) limits.concurrentLoads() / Math.max(1, running));
    }
}
