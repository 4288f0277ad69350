package org.tamaracktrack.daemon.gateway;

/**
 * When the pieces of one answer came, from the request's arrival on. Owned by the traffic thread.
 */
final class PieceTimes {
    private static final long NONE = -1;

    private final long arrivedMillis;
    private long firstMillis = NONE;
    private long lastMillis;
    private long longestGapMillis;

    private PieceTimes(long arrivedMillis) {
        this.arrivedMillis = arrivedMillis;
    }

    static PieceTimes since(long arrivedMillis) {
        return new PieceTimes(arrivedMillis);
    }

    void note(long nowMillis) {
        long sinceArrival = nowMillis - arrivedMillis;
        if (firstMillis == NONE) {
            firstMillis = sinceArrival;
        } else {
            longestGapMillis = Math.max(longestGapMillis, sinceArrival - lastMillis);
        }
        lastMillis = sinceArrival;
    }

    /** The time to the first piece; -1 before it. */
    long firstMillis() {
        return firstMillis;
    }

    /** The longest pause between two pieces; 0 with fewer than two. */
    long longestGapMillis() {
        return longestGapMillis;
    }
}
