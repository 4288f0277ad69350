package org.tamaracktrack.standins.engine;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

/** A source whose weights always take the same time to load. */
final class FixedDelayWeightSource implements WeightSource {
    private final long delayMillis;

    private FixedDelayWeightSource(long delayMillis) {
        this.delayMillis = delayMillis;
    }

    static FixedDelayWeightSource of(long delayMillis) {
        return new FixedDelayWeightSource(delayMillis);
    }

    @Override
    public boolean fetch(String name, String version, long mebibytes) {
        long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(delayMillis);
        long remainingNanos = deadlineNanos - System.nanoTime();
        while (remainingNanos > 0) {
            LockSupport.parkNanos(remainingNanos);
            remainingNanos = deadlineNanos - System.nanoTime();
        }
        return true;
    }
}
