package org.tamaracktrack.core.delay;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Objects;
import org.tamaracktrack.core.knowledge.DualTimestamp;

/**
 * Bounds how long data may have waited in the sockets of this process before a thread reads it.
 *
 * <p>While a process is stopped, its machine is suspended or the thread is busy, data stays unread,
 * and is then read as if it had just been sent. A tick at a fixed interval on the same thread shows
 * how long that was: a process that was stopped is late by both clocks, a machine that was
 * suspended only by the time of day. Confined to the thread.
 */
public final class SocketDelay {
    /**
     * Number of ticks for which a delay is remembered. The thread reads its sockets between two
     * ticks, so by then none of the data that waited is left.
     */
    private static final int BACKLOG_TICKS = 10;

    private final long intervalMillis;
    private final Deque<Long> recentDelays = new ArrayDeque<>();
    private DualTimestamp lastTick;

    private SocketDelay(long intervalMillis, DualTimestamp now) {
        this.intervalMillis = intervalMillis;
        this.lastTick = now;
    }

    /**
     * Returns the delay of a thread whose first tick is due one interval from now.
     *
     * @param intervalMillis the time from a tick to the next one, in milliseconds
     * @param now the current time
     * @return the delay
     */
    public static SocketDelay of(long intervalMillis, DualTimestamp now) {
        Objects.requireNonNull(now, "now is null");
        return new SocketDelay(intervalMillis, now);
    }

    /**
     * Records that the tick runs.
     *
     * @param now the current time
     * @return the delay of the tick, in milliseconds; 0 when it is on time
     */
    public long recordTick(DualTimestamp now) {
        long delayMillis = overdueMillis(now);
        lastTick = now;
        recentDelays.addLast(delayMillis);
        if (recentDelays.size() > BACKLOG_TICKS) {
            recentDelays.removeFirst();
        }
        return delayMillis;
    }

    /**
     * Returns the longest time for which data that is read now may have waited, apart from the
     * interval between two ticks.
     *
     * @param now the current time
     * @return the time in milliseconds
     */
    public long maxMillis(DualTimestamp now) {
        return Math.max(
                overdueMillis(now),
                recentDelays.stream().mapToLong(Long::longValue).max().orElse(0));
    }

    private long overdueMillis(DualTimestamp now) {
        return Math.max(0, now.millisSince(lastTick) - intervalMillis);
    }
}
