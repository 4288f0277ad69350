package org.tamaracktrack.daemon.relay;

/**
 * An estimate of the bytes that a relay has in transit to all followers, based on the rate of the
 * link: most of them wait in kernel buffers of the host, whose level can't be queried.
 *
 * @param limits the limits of the relay
 * @param inTransitBytes the estimated bytes in transit
 * @param atMillis the time of the estimate by the steady clock, in milliseconds
 */
record RelayBudget(RelayLimits limits, double inTransitBytes, long atMillis) {

    static RelayBudget of(RelayLimits limits, long nowMillis) {
        return new RelayBudget(limits, 0, nowMillis);
    }

    /** Returns the budget at a later time of the steady clock, in milliseconds. */
    RelayBudget advanceTo(long nowMillis) {
        double sentBytes = limits.bytesSentIn(Math.max(0, nowMillis - atMillis));
        return new RelayBudget(limits, Math.max(0, inTransitBytes - sentBytes), nowMillis);
    }

    /** Returns whether a batch of the given size may be sent to the given number of followers. */
    boolean fits(long bytes, int followers) {
        return inTransitBytes + (double) bytes * followers <= limits.maximumBytesInTransit();
    }

    /** Returns the budget after the given number of bytes was sent. */
    RelayBudget with(long bytes) {
        return new RelayBudget(limits, inTransitBytes + bytes, atMillis);
    }
}
