package org.tamaracktrack.standins.engine;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

/** Weights that always take the same time. */
final class FixedTimeWeights implements WeightSource {
    private final long millis;

    private FixedTimeWeights(long millis) {
        this.millis = millis;
    }

    static FixedTimeWeights of(long millis) {
        return new FixedTimeWeights(millis);
    }

    @Override
    public boolean fetch(String name, String version, long mebibytes) {
        long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
        long left = until - System.nanoTime();
        while (left > 0) {
            LockSupport.parkNanos(left);
            left = until - System.nanoTime();
        }
        return true;
    }
}
