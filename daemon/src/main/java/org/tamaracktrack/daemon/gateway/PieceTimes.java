package org.tamaracktrack.daemon.gateway;

/**
 * The times at which the pieces of one response came, since the arrival of the request. Owned by
 * the traffic thread.
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

    void recordPiece(long nowMillis) {
        long sinceArrival = nowMillis - arrivedMillis;
        if (firstMillis == NONE) {
            firstMillis = sinceArrival;
        } else {
            longestGapMillis = Math.max(longestGapMillis, sinceArrival - lastMillis);
        }
        lastMillis = sinceArrival;
    }

    /** Returns the time to the first piece in milliseconds; -1 before it. */
    long firstMillis() {
        return firstMillis;
    }

    /**
     * Returns the longest pause between two pieces in milliseconds; 0 with fewer than two pieces.
     */
    long longestGapMillis() {
        return longestGapMillis;
    }
}
