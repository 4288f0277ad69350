package org.tamaracktrack.core.quota;

/**
 * The times at which refused callers of one client account return, one after the other at a part of
 * the rate of the quota. Told only when there is room for themselves, callers that are refused
 * together would return together and be refused again. Confined to the traffic thread.
 */
final class ReturnSchedule {
    /** Part of the rate for returning callers; the rest is for new requests. */
    private static final double RETURNING_SHARE = 0.5;

    /** Callers do not wait longer than a few seconds. */
    private static final long MAX_MILLIS = 10_000;

    private static final double MILLIS_PER_SECOND = 1_000;

    private double nextAtMillis;

    private ReturnSchedule() {}

    static ReturnSchedule empty() {
        return new ReturnSchedule();
    }

    /**
     * Adds a refused caller.
     *
     * @param cost the units of its request
     * @param ratePerSecond the units that become available per second
     * @param roomMillis when there is room for the request by itself, in milliseconds from now
     * @param nowMillis the monotonic time in milliseconds
     * @return when the caller should return, in milliseconds from now
     */
    long add(long cost, double ratePerSecond, long roomMillis, long nowMillis) {
        double atMillis = Math.max(nextAtMillis, nowMillis + (double) roomMillis);
        double waitMillis = atMillis - nowMillis;
        if (waitMillis > MAX_MILLIS || !(ratePerSecond > 0)) {
            return Math.max(roomMillis, MAX_MILLIS);
        }
        nextAtMillis = atMillis + cost * MILLIS_PER_SECOND / (RETURNING_SHARE * ratePerSecond);
        return (long) waitMillis;
    }
}
