package org.tamaracktrack.core.copies;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Paces loads from the weight store, all engines together. A load without an answer counts as
 * begun. Owned by the control thread.
 */
public final class StorePace {
    /** The window over which the store counts. */
    private static final long WINDOW_MILLIS = 5_000;

    /** Below the store's own bound, so that a load that begins late does not exceed it. */
    private static final double SHARE = 0.9;

    private final Deque<Long> begun = new ArrayDeque<>();

    private StorePace() {}

    /**
     * Returns a pace with no load begun.
     *
     * @return the pace
     */
    public static StorePace empty() {
        return new StorePace();
    }

    /**
     * Returns whether a load may begin.
     *
     * @param loadsPerSecond the store's rate
     * @param nowMillis the monotonic time
     * @return true when it may
     */
    public boolean allows(double loadsPerSecond, long nowMillis) {
        while (!begun.isEmpty() && nowMillis - begun.peekFirst() > WINDOW_MILLIS) {
            begun.removeFirst();
        }
        return begun.size() + 1 <= SHARE * loadsPerSecond * WINDOW_MILLIS / 1_000;
    }

    /**
     * Another giver of orders was in charge, and the store still counts the loads that it began.
     * They are not known here; it may have begun all that a window allows in its last moment.
     *
     * @param loadsPerSecond the store's rate
     * @param lastMillis the monotonic time of its last moment
     */
    public void follow(double loadsPerSecond, long lastMillis) {
        long most = (long) (SHARE * loadsPerSecond * WINDOW_MILLIS / 1_000);
        for (long count = 0; count < most; count++) {
            begun.addLast(lastMillis);
        }
    }

    /**
     * A load begins.
     *
     * @param nowMillis the monotonic time
     */
    public void begin(long nowMillis) {
        begun.addLast(nowMillis);
    }
}
