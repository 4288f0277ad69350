package org.tamaracktrack.core.lease;

/**
 * Computes how long a daemon waits before it claims a free lease. A random part spreads the claims,
 * so that daemons do not all claim at the same time. The holder plans for all daemons and relays to
 * them the records that it reads, so daemons on hosts with little processor time wait longer and
 * let other hosts claim first.
 */
public final class ClaimDelay {
    private static final long SPREAD_MILLIS = 400;

    /** Exceeds the random spread, so that every larger host claims first. */
    private static final long SMALL_HOST_MILLIS = 500;

    /** Hosts with at least this share of a core finish a plan within a few ticks. */
    private static final double SMALL_HOST_PROCESSOR_SHARE = 0.5;

    private ClaimDelay() {}

    /**
     * Returns the delay before a daemon claims a free lease.
     *
     * @param processorShare the share of a core that the daemon may use
     * @param randomFraction a random number from 0 to 1
     * @return the delay in milliseconds
     */
    public static long millis(double processorShare, double randomFraction) {
        long spreadMillis = (long) (SPREAD_MILLIS * randomFraction);
        return processorShare < SMALL_HOST_PROCESSOR_SHARE
                ? SMALL_HOST_MILLIS + spreadMillis
                : spreadMillis;
    }
}
