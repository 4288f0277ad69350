package org.tamaracktrack.core.delay;

/**
 * How late one thread runs what is due, told by a beat that is due at a fixed interval. A thread
 * that is busy, or that gets no processor time, runs its beat late. Safe for use by several
 * threads.
 */
public final class SchedulingDelay {
    private final long intervalMillis;
    private final long lateMillis;
    private long dueMillis;
    private long lateFromMillis = Long.MIN_VALUE / 2;
    private long lateUntilMillis = Long.MIN_VALUE / 2;
    private long longestMillis;

    private SchedulingDelay(long intervalMillis, long lateMillis, long nowMillis) {
        this.intervalMillis = intervalMillis;
        this.lateMillis = lateMillis;
        this.dueMillis = nowMillis + intervalMillis;
    }

    /**
     * Returns the delay of a thread whose first beat is due an interval from now.
     *
     * @param intervalMillis the time between the end of a beat and the next one
     * @param lateMillis a beat that is later than this is late
     * @param nowMillis the monotonic time
     * @return the delay
     */
    public static SchedulingDelay of(long intervalMillis, long lateMillis, long nowMillis) {
        return new SchedulingDelay(intervalMillis, lateMillis, nowMillis);
    }

    /**
     * The beat runs.
     *
     * @param nowMillis the monotonic time
     * @return how late it is; 0 when it is not
     */
    public synchronized long beat(long nowMillis) {
        long delayMillis = Math.max(0, nowMillis - dueMillis);
        if (delayMillis > lateMillis) {
            lateFromMillis = dueMillis;
            lateUntilMillis = nowMillis;
        }
        longestMillis = Math.max(longestMillis, delayMillis);
        dueMillis = nowMillis + intervalMillis;
        return delayMillis;
    }

    /**
     * Returns whether the thread has run in time since a moment. What did not arrive meanwhile did
     * not lie here unread.
     *
     * @param sinceMillis the moment
     * @param nowMillis the monotonic time
     * @return false when the thread was late, or is late now
     */
    public synchronized boolean punctualSince(long sinceMillis, long nowMillis) {
        long wasLateMillis = lateUntilMillis - Math.max(lateFromMillis, sinceMillis);
        long isLateMillis = nowMillis - Math.max(dueMillis, sinceMillis);
        return wasLateMillis <= lateMillis && isLateMillis <= lateMillis;
    }

    /**
     * Returns the longest delay since this was last asked.
     *
     * @return milliseconds
     */
    public synchronized long takeLongestMillis() {
        long taken = longestMillis;
        longestMillis = 0;
        return taken;
    }
}
