package org.tamaracktrack.daemon.relay;

import org.tamaracktrack.core.error.ErrorCode;
import org.tamaracktrack.core.error.TamaracktrackException;

/**
 * How much a relay may have under way to all other daemons together.
 *
 * @param linkMegabits what the host's link carries, in Mbit/s
 */
public record RelayLimits(double linkMegabits) {
    /** What one connection may have waiting of anything, beyond which it is closed, in bytes. */
    static final long CONNECTION_BYTES = 256L * 1024;

    /**
     * A link that carries records for longer keeps reads of the store, callers' requests and
     * readiness waiting for as long, in milliseconds.
     */
    static final long MOST_MILLIS = 200;

    /** A batch of the usual size, in bytes. */
    private static final long USUAL_BATCH_BYTES = 4 * 1024;

    private static final double BYTES_PER_MILLI_OF_A_MEGABIT = 125;

    /** Callers need the other part of the link. */
    private static final double PART_OF_THE_LINK = 0.5;

    /** Checks the argument. */
    public RelayLimits {
        if (!(linkMegabits > 0) || Double.isInfinite(linkMegabits)) {
            throw TamaracktrackException.of(
                    ErrorCode.INVALID_SETTINGS, "not a rate of a link: " + linkMegabits);
        }
    }

    /** What may be under way to all followers together, in bytes. */
    long bytesUnderWay() {
        return (long) (MOST_MILLIS * linkMegabits * BYTES_PER_MILLI_OF_A_MEGABIT);
    }

    /** What leaves in a time, in bytes. */
    double bytesThatLeaveIn(long millis) {
        return millis * linkMegabits * BYTES_PER_MILLI_OF_A_MEGABIT * PART_OF_THE_LINK;
    }

    /**
     * What may wait for one follower, records included, in bytes: its part of what may be under
     * way, and at least a usual batch. Less than its connection takes, so that it can be told at
     * any time that there is more to read.
     */
    long bytesWaiting(int followers) {
        return Math.min(
                CONNECTION_BYTES - USUAL_BATCH_BYTES,
                Math.max(USUAL_BATCH_BYTES, bytesUnderWay() / Math.max(1, followers)));
    }
}
