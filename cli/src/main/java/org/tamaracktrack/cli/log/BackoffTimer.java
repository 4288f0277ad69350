package org.tamaracktrack.cli.log;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

/** A retry timer on the monotonic clock that doubles the wait up to a maximum. */
public final class BackoffTimer implements RetryTimer {
    private static final long FIRST_WAIT_MILLIS = 50;
    private static final long MAXIMUM_WAIT_MILLIS = 1_000;

    private final long deadlineNanos;
    private long nextWaitMillis = FIRST_WAIT_MILLIS;

    private BackoffTimer(long deadlineNanos) {
        this.deadlineNanos = deadlineNanos;
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
        long remainingNanos = deadlineNanos - System.nanoTime();
        if (remainingNanos <= 0) {
            return false;
        }
        LockSupport.parkNanos(
                Math.min(remainingNanos, TimeUnit.MILLISECONDS.toNanos(nextWaitMillis)));
        nextWaitMillis = Math.min(2 * nextWaitMillis, MAXIMUM_WAIT_MILLIS);
        return true;
    }
}
