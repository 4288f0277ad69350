package org.tamaracktrack.core.copies;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Limits the rate of loads from the weight store over all engines. A load order without an answer
 * counts as a load. Owned by the control thread.
 */
public final class StoreLoadLimiter {
    /** Window over which the weight store counts loads. */
    private static final long WINDOW_MILLIS = 5_000;

    /**
     * Share of the weight store's own limit that is used, so that a load that starts late does not
     * exceed the limit.
     */
    private static final double RATE_SHARE = 0.9;

    private final Deque<Long> startedMillis = new ArrayDeque<>();

    private StoreLoadLimiter() {}

    /**
     * Returns a limiter without recorded loads.
     *
     * @return the limiter
     */
    public static StoreLoadLimiter empty() {
        return new StoreLoadLimiter();
    }

    /**
     * Returns whether a load may start.
     *
     * @param loadsPerSecond the weight store's limit
     * @param nowMillis the monotonic time in milliseconds
     * @return true when it may
     */
    public boolean allows(double loadsPerSecond, long nowMillis) {
        while (!startedMillis.isEmpty() && nowMillis - startedMillis.peekFirst() > WINDOW_MILLIS) {
            startedMillis.removeFirst();
        }
        return startedMillis.size() + 1 <= RATE_SHARE * loadsPerSecond * WINDOW_MILLIS / 1_000;
    }

    /**
     * Assumes that the former holder of the duty used a whole window of loads at the end of its
     * lease. The weight store still counts those loads, and their number is not known here.
     *
     * @param loadsPerSecond the weight store's limit
     * @param lastMillis the monotonic time in milliseconds at which the former holder ended
     */
    public void assumeFullWindow(double loadsPerSecond, long lastMillis) {
        long loadsPerWindow = (long) (RATE_SHARE * loadsPerSecond * WINDOW_MILLIS / 1_000);
        for (long count = 0; count < loadsPerWindow; count++) {
            startedMillis.addLast(lastMillis);
        }
    }

    /**
     * Records the start of a load.
     *
     * @param nowMillis the monotonic time in milliseconds
     */
    public void recordLoad(long nowMillis) {
        startedMillis.addLast(nowMillis);
    }
}
