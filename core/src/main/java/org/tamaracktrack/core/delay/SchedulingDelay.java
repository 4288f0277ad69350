package org.tamaracktrack.core.delay;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Measures how late one thread runs its tasks, by a tick that is due at a fixed interval. A thread
 * that is busy or receives no processor time runs its tick late. Safe for use by several threads.
 */
public final class SchedulingDelay {
    /** Delay of a tick that is ignored, since timers fire this late on a host that is not busy. */
    private static final long TOLERATED_DELAY_MILLIS = 50;

    /** Time for which late ticks are kept. */
    private static final long RETENTION_MILLIS = 10_000;

    private final long intervalMillis;
    private final long maximumTotalDelayMillis;
    private final Deque<LateTick> lateTicks = new ArrayDeque<>();
    private long dueMillis;
    private long longestMillis;

    private record LateTick(long dueMillis, long ranMillis) {
        private long delaySince(long sinceMillis) {
            return Math.max(
                    0, ranMillis - Math.max(dueMillis + TOLERATED_DELAY_MILLIS, sinceMillis));
        }
    }

    private SchedulingDelay(long intervalMillis, long maximumTotalDelayMillis, long nowMillis) {
        this.intervalMillis = intervalMillis;
        this.maximumTotalDelayMillis = maximumTotalDelayMillis;
        this.dueMillis = nowMillis + intervalMillis;
    }

    /**
     * Returns the measurement of a thread whose first tick is due one interval from now.
     *
     * @param intervalMillis the time from a tick to the next one, in milliseconds
     * @param maximumTotalDelayMillis the total delay of its ticks, in milliseconds, above which a
     *     thread counts as late
     * @param nowMillis the monotonic time in milliseconds
     * @return the measurement
     */
    public static SchedulingDelay of(
            long intervalMillis, long maximumTotalDelayMillis, long nowMillis) {
        return new SchedulingDelay(intervalMillis, maximumTotalDelayMillis, nowMillis);
    }

    /**
     * Records that the tick runs.
     *
     * @param nowMillis the monotonic time in milliseconds
     * @return the delay of the tick in milliseconds; 0 when it is on time
     */
    public synchronized long recordTick(long nowMillis) {
        long delayMillis = Math.max(0, nowMillis - dueMillis);
        if (delayMillis > TOLERATED_DELAY_MILLIS) {
            lateTicks.addLast(new LateTick(dueMillis, nowMillis));
        }
        while (!lateTicks.isEmpty()
                && lateTicks.getFirst().ranMillis() < nowMillis - RETENTION_MILLIS) {
            lateTicks.removeFirst();
        }
        longestMillis = Math.max(longestMillis, delayMillis);
        dueMillis = nowMillis + intervalMillis;
        return delayMillis;
    }

    /**
     * Returns whether the thread has run on time since a given time, by the sum of its delays, so
     * that several short delays add up. If it has, a message that was not received in this period
     * was not waiting unread in this process.
     *
     * @param sinceMillis the monotonic start time in milliseconds, at most ten seconds ago
     * @param nowMillis the monotonic time in milliseconds
     * @return false when the thread was late, or is late now
     */
    public synchronized boolean onTimeSince(long sinceMillis, long nowMillis) {
        long pastDelayMillis =
                lateTicks.stream().mapToLong(tick -> tick.delaySince(sinceMillis)).sum();
        long currentDelayMillis = new LateTick(dueMillis, nowMillis).delaySince(sinceMillis);
        return pastDelayMillis + currentDelayMillis <= maximumTotalDelayMillis;
    }

    /**
     * Returns the longest delay since the last call, and resets it.
     *
     * @return the delay in milliseconds
     */
    public synchronized long takeLongestMillis() {
        long taken = longestMillis;
        longestMillis = 0;
        return taken;
    }
}
