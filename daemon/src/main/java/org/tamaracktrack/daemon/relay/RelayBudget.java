package org.tamaracktrack.daemon.relay;

/**
 * What a relay has under way to all followers together, counted by what the link carries: the
 * buffers of the host's kernel, where most of it waits, can't be asked.
 *
 * @param limits how much it may be
 * @param underWayBytes how much it is
 * @param atMillis when, by the steady clock
 */
record RelayBudget(RelayLimits limits, double underWayBytes, long atMillis) {

    static RelayBudget of(RelayLimits limits, long nowMillis) {
        return new RelayBudget(limits, 0, nowMillis);
    }

    /** The budget at a later time, in milliseconds of the steady clock. */
    RelayBudget at(long nowMillis) {
        double left = limits.bytesThatLeaveIn(Math.max(0, nowMillis - atMillis));
        return new RelayBudget(limits, Math.max(0, underWayBytes - left), nowMillis);
    }

    /** Whether a batch of this many bytes may be passed on to this many followers. */
    boolean fits(long bytes, int followers) {
        return underWayBytes + (double) bytes * followers <= limits.bytesUnderWay();
    }

    /** The budget once this many bytes more were passed on. */
    RelayBudget with(long bytes) {
        return new RelayBudget(limits, underWayBytes + bytes, atMillis);
    }
}
