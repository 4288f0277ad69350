package org.tamaracktrack.core.dispatch;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * This daemon's part of a slack that holds for all daemons together: one of as many as a window can
 * hold. Daemons learn from lists how many there are.
 *
 * <p>A daemon that starts, or was not on a list for a whole window, has no part until those that
 * had one before it have none any more: in any window the parts of a daemon and of its successor
 * would add up. Who hears of no list has no part, since the others may be more by now.
 */
public final class SlackShare {
    /** A list says how many daemons there are for this long, in milliseconds. */
    private static final long FRESH_MILLIS = 2_000;

    private static final long NEVER = Long.MIN_VALUE / 2;

    private final long windowMillis;
    private final Deque<Count> counts = new ArrayDeque<>();
    private long listedMillis = NEVER;
    private long sinceMillis = NEVER;

    /** A number of daemons, and when it was last true. */
    private record Count(int daemons, long atMillis) {}

    private SlackShare(long windowMillis) {
        this.windowMillis = windowMillis;
    }

    /**
     * Returns the share of a daemon that has just started.
     *
     * @param windowMillis the window in which the slack may be used once
     * @return the share
     */
    public static SlackShare of(long windowMillis) {
        return new SlackShare(windowMillis);
    }

    /**
     * This daemon was on a list.
     *
     * @param daemons how many daemons were on it
     * @param atMillis when the list was true, by this daemon's monotonic clock
     */
    public void listed(int daemons, long atMillis) {
        if (atMillis - listedMillis > windowMillis) {
            sinceMillis = atMillis;
        }
        listedMillis = Math.max(listedMillis, atMillis);
        if (!counts.isEmpty() && counts.peekLast().daemons() == daemons) {
            counts.removeLast();
        }
        counts.addLast(new Count(daemons, listedMillis));
    }

    /** Begins anew: the process stood still, and its clock with it. */
    public void restart() {
        listedMillis = NEVER;
        sinceMillis = NEVER;
    }

    /**
     * Returns this daemon's part.
     *
     * @param nowMillis the monotonic time
     * @return from 0 to 1
     */
    public double part(long nowMillis) {
        while (!counts.isEmpty() && nowMillis - counts.peekFirst().atMillis() > memoryMillis()) {
            counts.removeFirst();
        }
        if (nowMillis - listedMillis > FRESH_MILLIS
                || nowMillis - sinceMillis < windowMillis + FRESH_MILLIS) {
            return 0;
        }
        return 1.0 / counts.stream().mapToInt(Count::daemons).max().orElse(Integer.MAX_VALUE);
    }

    // Long enough that a daemon that no list held for a window finds its part unused.
    private long memoryMillis() {
        return 2 * windowMillis + FRESH_MILLIS;
    }
}
