package org.tamaracktrack.core.copies;

/**
 * Tracks whether orders were left unanswered recently. An engine whose order was not answered
 * receives no other order until its report shows the outcome. Orders that no request waits for
 * would therefore delay orders that many requests wait for. Owned by the control thread.
 */
public final class UnansweredOrders {
    /**
     * Approximate duration of two unanswered orders together with the reports that show their
     * outcome.
     */
    private static final long RECENT_WINDOW_MILLIS = 2_000;

    private long lastUnansweredMillis = Long.MIN_VALUE / 2;

    private UnansweredOrders() {}

    /**
     * Returns a tracker without unanswered orders.
     *
     * @return the tracker
     */
    public static UnansweredOrders none() {
        return new UnansweredOrders();
    }

    /**
     * Records that an order was not answered.
     *
     * @param nowMillis the monotonic time in milliseconds
     */
    public void recordUnanswered(long nowMillis) {
        lastUnansweredMillis = nowMillis;
    }

    /**
     * Returns whether an order was left unanswered recently.
     *
     * @param nowMillis the monotonic time in milliseconds
     * @return true when only orders that requests wait for should be issued
     */
    public boolean anyRecent(long nowMillis) {
        return nowMillis - lastUnansweredMillis < RECENT_WINDOW_MILLIS;
    }
}
