package org.tamaracktrack.core.dispatch;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * This daemon's share of the slack that all daemons have together: one divided by the largest
 * number of daemons that recent windows contained. The number comes from lists of daemons.
 *
 * <p>A daemon that starts, or was not listed for a whole window, has no share until the shares used
 * before it have left the window; otherwise the shares of a daemon and of its successor would add
 * up in one window. A daemon that receives no list has no share, since the number of daemons may
 * have grown.
 */
public final class SlackShare {
    /** Time for which a list is considered valid. */
    private static final long LIST_VALIDITY_MILLIS = 2_000;

    private static final long NEVER = Long.MIN_VALUE / 2;

    private final long windowMillis;
    private final Deque<Count> counts = new ArrayDeque<>();
    private long lastListedMillis = NEVER;
    private long listedSinceMillis = NEVER;

    /** A number of daemons, and when it was last valid. */
    private record Count(int daemons, long atMillis) {}

    private SlackShare(long windowMillis) {
        this.windowMillis = windowMillis;
    }

    /**
     * Returns the share of a daemon that has just started.
     *
     * @param windowMillis the window in which the slack may be used once, in milliseconds
     * @return the share
     */
    public static SlackShare of(long windowMillis) {
        return new SlackShare(windowMillis);
    }

    /**
     * Records the number of daemons on a list that contains this one.
     *
     * @param daemons the number of daemons on the list
     * @param atMillis when the list was valid, by this daemon's monotonic clock, in milliseconds
     */
    public void recordDaemonCount(int daemons, long atMillis) {
        if (atMillis - lastListedMillis > windowMillis) {
            listedSinceMillis = atMillis;
        }
        lastListedMillis = Math.max(lastListedMillis, atMillis);
        if (!counts.isEmpty() && counts.peekLast().daemons() == daemons) {
            counts.removeLast();
        }
        counts.addLast(new Count(daemons, lastListedMillis));
    }

    /** Starts over after a freeze of the process, during which the monotonic clock stood still. */
    public void restartAfterFreeze() {
        lastListedMillis = NEVER;
        listedSinceMillis = NEVER;
    }

    /**
     * Returns this daemon's share.
     *
     * @param nowMillis the monotonic time in milliseconds
     * @return the share, from 0 to 1
     */
    public double share(long nowMillis) {
        while (!counts.isEmpty()
                && nowMillis - counts.peekFirst().atMillis() > countRetentionMillis()) {
            counts.removeFirst();
        }
        if (nowMillis - lastListedMillis > LIST_VALIDITY_MILLIS
                || nowMillis - listedSinceMillis < windowMillis + LIST_VALIDITY_MILLIS) {
            return 0;
        }
        return 1.0 / counts.stream().mapToInt(Count::daemons).max().orElse(Integer.MAX_VALUE);
    }

    // Long enough that a daemon that was not listed for a window finds its share unused by others.
    private long countRetentionMillis() {
        return 2 * windowMillis + LIST_VALIDITY_MILLIS;
    }
}
