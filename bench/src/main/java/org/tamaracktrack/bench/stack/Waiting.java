package org.tamaracktrack.bench.stack;

import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;

/** Waits for something in another process, which can only be asked for. */
public final class Waiting {
    private static final long PAUSE_MILLIS = 20;

    private Waiting() {}

    /**
     * Waits until a condition holds.
     *
     * @param what the condition in words
     * @param limit how long to wait
     * @param condition the condition
     * @throws StackException when it does not hold in time
     */
    public static void until(String what, Duration limit, BooleanSupplier condition) {
        long end = System.nanoTime() + limit.toNanos();
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() - end > 0) {
                throw StackException.of("not in " + limit + ": " + what);
            }
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(PAUSE_MILLIS));
        }
    }
}
