package org.tamaracktrack.daemon.relay;

import org.tamaracktrack.core.error.ErrorCode;
import org.tamaracktrack.core.error.TamaracktrackException;

/**
 * The limits of the bytes that a relay may have in transit to all other daemons.
 *
 * @param linkMegabits the rate of the host's network link, in Mbit/s
 */
public record RelayLimits(double linkMegabits) {
    /** The size of a connection's send queue beyond which the connection is closed, in bytes. */
    static final long MAXIMUM_CONNECTION_BYTES = 256L * 1024;

    /**
     * How long the bytes in transit may occupy the link, in milliseconds. Reads of the store,
     * requests of callers and readiness checks are delayed for as long.
     */
    static final long MAXIMUM_TRANSIT_MILLIS = 200;

    /** The size of a typical batch, in bytes. */
    private static final long TYPICAL_BATCH_BYTES = 4 * 1024;

    private static final double BYTES_PER_MILLI_AND_MEGABIT = 125;

    /** The share of the link for relayed records; the rest is left to callers. */
    private static final double LINK_SHARE = 0.5;

    /** Checks the argument. */
    public RelayLimits {
        if (!(linkMegabits > 0) || Double.isInfinite(linkMegabits)) {
            throw TamaracktrackException.of(
                    ErrorCode.INVALID_SETTINGS,
                    "link rate is not a positive finite number of Mbit/s: " + linkMegabits);
        }
    }

    /** Returns the maximum of the bytes in transit to all followers. */
    long maximumBytesInTransit() {
        return (long) (MAXIMUM_TRANSIT_MILLIS * linkMegabits * BYTES_PER_MILLI_AND_MEGABIT);
    }

    /** Returns the number of bytes that are sent in the given time. */
    double bytesSentIn(long millis) {
        return millis * linkMegabits * BYTES_PER_MILLI_AND_MEGABIT * LINK_SHARE;
    }

    /**
     * Returns the maximum of the bytes queued for one follower: its share of the bytes in transit,
     * and at least a typical batch. Below the limit of its connection, so that a notice can be sent
     * at any time.
     */
    long maximumQueuedBytes(int followers) {
        return Math.min(
                MAXIMUM_CONNECTION_BYTES - TYPICAL_BATCH_BYTES,
                Math.max(TYPICAL_BATCH_BYTES, maximumBytesInTransit() / Math.max(1, followers)));
    }
}
