package org.tamaracktrack.core.copies;

/**
 * Whether orders go unanswered of late. An engine whose order was not answered gets no other until
 * its report has told the outcome, so orders that nobody waits for keep it from those that many
 * wait for. Owned by the control thread.
 */
public final class UnansweredOrders {
    /** About the time of two orders without an answer, with the reports that settle them. */
    private static final long RECENT_MILLIS = 2_000;

    private long lastMillis = Long.MIN_VALUE / 2;

    private UnansweredOrders() {}

    /**
     * Returns a state in which every order was answered.
     *
     * @return the state
     */
    public static UnansweredOrders none() {
        return new UnansweredOrders();
    }

    /**
     * An order was not answered.
     *
     * @param nowMillis the monotonic time
     */
    public void note(long nowMillis) {
        lastMillis = nowMillis;
    }

    /**
     * Returns whether an order was not answered of late.
     *
     * @param nowMillis the monotonic time
     * @return true when only orders are worth giving that requests wait for
     */
    public boolean recent(long nowMillis) {
        return nowMillis - lastMillis < RECENT_MILLIS;
    }
}
