package org.tamaracktrack.core.delay;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * How late one thread runs what is due, told by a beat that is due at a fixed interval. A thread
 * that is busy, or that gets no processor time, runs its beat late. Safe for use by several
 * threads.
 */
public final class SchedulingDelay {
    /** Timers fire late by this much on a host that is not busy. */
    private static final long USUAL_MILLIS = 50;

    /** How long beats are remembered, in milliseconds. */
    private static final long REMEMBERED_MILLIS = 10_000;

    private final long intervalMillis;
    private final long lateMillis;
    private final Deque<LateBeat> lateBeats = new ArrayDeque<>();
    private long dueMillis;
    private long longestMillis;

    private record LateBeat(long dueMillis, long ranMillis) {
        private long lateSince(long sinceMillis) {
            return Math.max(0, ranMillis - Math.max(dueMillis + USUAL_MILLIS, sinceMillis));
        }
    }

    private SchedulingDelay(long intervalMillis, long lateMillis, long nowMillis) {
        this.intervalMillis = intervalMillis;
        this.lateMillis = lateMillis;
        this.dueMillis = nowMillis + intervalMillis;
    }

    /**
     * Returns the delay of a thread whose first beat is due an interval from now.
     *
     * @param intervalMillis the time between the end of a beat and the next one
     * @param lateMillis a thread whose beats are later than this in all is late
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
        if (delayMillis > USUAL_MILLIS) {
            lateBeats.addLast(new LateBeat(dueMillis, nowMillis));
        }
        while (!lateBeats.isEmpty()
                && lateBeats.getFirst().ranMillis() < nowMillis - REMEMBERED_MILLIS) {
            lateBeats.removeFirst();
        }
        longestMillis = Math.max(longestMillis, delayMillis);
        dueMillis = nowMillis + intervalMillis;
        return delayMillis;
    }

    /**
     * Returns whether the thread has run in time since a moment, by the sum of its delays: several
     * steps that are each a little late add up. What did not arrive meanwhile did not lie here
     * unread.
     *
     * @param sinceMillis the moment, ten seconds ago at most
     * @param nowMillis the monotonic time
     * @return false when the thread was late, or is late now
     */
    public synchronized boolean punctualSince(long sinceMillis, long nowMillis) {
        long wasLateMillis =
                lateBeats.stream().mapToLong(beat -> beat.lateSince(sinceMillis)).sum();
        long isLateMillis = new LateBeat(dueMillis, nowMillis).lateSince(sinceMillis);
        return wasLateMillis + isLateMillis <= lateMillis;
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
