package org.tamaracktrack.core.admission;

import java.util.ArrayDeque;
import java.util.Deque;

/** Spreads the times at which refused callers return, the more the more of them there are. */
public final class RefusalSpread {
    private static final long WINDOW_MILLIS = 1_000;

    /** Range of a single refusal; a few passes of held requests. */
    private static final long MIN_RANGE_MILLIS = 100;

    /** Range added for each refusal of the last second: callers return at up to 50 a second. */
    private static final long RANGE_PER_REFUSAL_MILLIS = 20;

    /** Longer waits exceed the time that most callers have left. */
    private static final long MAX_RANGE_MILLIS = 3_000;

    private final Deque<Long> refusedAtMillis = new ArrayDeque<>();

    private RefusalSpread() {}

    /**
     * Returns a spread without refusals.
     *
     * @return the spread
     */
    public static RefusalSpread empty() {
        return new RefusalSpread();
    }

    /**
     * Records a refusal.
     *
     * @param roomMillis when room is expected, in milliseconds from now
     * @param nowMillis the monotonic time in milliseconds
     * @param draw a random number from 0 to 1
     * @return when the caller should return, in milliseconds from now
     */
    public long retryAfterMillis(long roomMillis, long nowMillis, double draw) {
        while (!refusedAtMillis.isEmpty()
                && nowMillis - refusedAtMillis.peekFirst() >= WINDOW_MILLIS) {
            refusedAtMillis.removeFirst();
        }
        if (refusedAtMillis.size() < MAX_RANGE_MILLIS / RANGE_PER_REFUSAL_MILLIS) {
            refusedAtMillis.addLast(nowMillis);
        }
        long rangeMillis =
                Math.min(
                        MAX_RANGE_MILLIS,
                        MIN_RANGE_MILLIS + RANGE_PER_REFUSAL_MILLIS * refusedAtMillis.size());
        return roomMillis + (long) (rangeMillis * draw);
    }
}
