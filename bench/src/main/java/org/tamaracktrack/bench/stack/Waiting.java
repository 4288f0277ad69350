package org.tamaracktrack.bench.stack;

import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;

/** Waits for conditions of other processes by polling. */
public final class Waiting {
    private static final long POLL_INTERVAL_MILLIS = 20;

    private Waiting() {}

    /**
     * Polls a condition until it holds.
     *
     * @param description the condition in words, for the error message
     * @param timeout the maximum time to wait
     * @param condition the condition
     * @throws StackException when it does not hold in time
     */
    public static void until(String description, Duration timeout, BooleanSupplier condition) {
        long deadline = System.nanoTime() + timeout.toNanos();
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() - deadline > 0) {
                throw StackException.of("condition not met within " + timeout + ": " + description);
            }
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(POLL_INTERVAL_MILLIS));
        }
    }
}
