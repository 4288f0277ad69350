package org.tamaracktrack.cli.log;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

/** Waits by the monotonic clock, a little longer each time. */
public final class TimedPatience implements Patience {
    private static final long FIRST_WAIT_MILLIS = 50;
    private static final long LONGEST_WAIT_MILLIS = 1_000;

    private final long endNanos;
    private long waitMillis = FIRST_WAIT_MILLIS;

    private TimedPatience(long endNanos) {
        this.endNanos = endNanos;
    }

    /**
     * Returns patience that begins now.
     *
     * @param timeoutMillis how long it lasts
     * @return the patience
     */
    public static TimedPatience of(long timeoutMillis) {
        return new TimedPatience(System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMillis));
    }

    @Override
    public boolean another() {
        long leftNanos = endNanos - System.nanoTime();
        if (leftNanos <= 0) {
            return false;
        }
        LockSupport.parkNanos(Math.min(leftNanos, TimeUnit.MILLISECONDS.toNanos(waitMillis)));
        waitMillis = Math.min(2 * waitMillis, LONGEST_WAIT_MILLIS);
        return true;
    }
}
