package org.tamaracktrack.core.lease;

/**
 * How long a daemon waits before it claims a free lease. A draw spreads claims, so that not every
 * daemon tries at once. The holder plans for all and passes on to all what it reads, so daemons on
 * hosts with little processor time leave the claim to others first.
 */
public final class ClaimDelay {
    private static final long SPREAD_MILLIS = 400;

    /** Longer than the spread, so that any larger host claims first. */
    private static final long SMALL_HOST_MILLIS = 500;

    /** A plan must take no longer than a few ticks; below this part of a core it does. */
    private static final double SMALL_HOST_SHARE = 0.5;

    private ClaimDelay() {}

    /**
     * Returns the delay of one daemon.
     *
     * @param processorShare the part of a core that it may use
     * @param draw a random number from 0 to 1
     * @return milliseconds
     */
    public static long millis(double processorShare, double draw) {
        long spreadMillis = (long) (SPREAD_MILLIS * draw);
        return processorShare < SMALL_HOST_SHARE ? SMALL_HOST_MILLIS + spreadMillis : spreadMillis;
    }
}
