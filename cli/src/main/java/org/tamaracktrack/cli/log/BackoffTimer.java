package org.tamaracktrack.cli.log;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

/** A retry timer on the monotonic clock that doubles the wait up to a maximum. */
public final class BackoffTimer implements RetryTimer {
    private static final long FIRST_WAIT_MILLIS = 50;
    private static final long MAXIMUM_WAIT_MILLIS = 1_000;

    private final long deadlineNanos;
    private long nextWaitMillis = FIRST_WAIT_MILLIS;

    private BackoffTimer(long endNanos) {
        this.deadlineNanos = endNanos;
    }

    /**
     * Returns a timer that starts now.
     *
     * @param timeoutMillis the time limit in milliseconds
     * @return the timer
     */
    public static BackoffTimer of(long timeoutMillis) {
        return new BackoffTimer(System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMillis));
    }

    @Override
    public boolean awaitNextAttempt() {
        long leftNanos = deadlineNanos - System.nanoTime();
        if (leftNanos <= 0) {
            return false;
        }
        LockSupport.parkNanos(Math.min(leftNanos, TimeUnit.MILLISECONDS.toNanos(nextWaitMillis)));
        nextWaitMillis = Math.min(2 * nextWaitMillis, MAXIMUM_WAIT_MILLIS);
        return true;
    }
}
