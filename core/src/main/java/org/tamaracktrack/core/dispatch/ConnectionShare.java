package org.tamaracktrack.core.dispatch;

/**
 * The connections that one daemon may have at each target of a service. A target resets connections
 * beyond its maximum, whoever opened them, and a request that was already on its way then has an
 * unknown outcome. Each daemon therefore uses an equal share of the maximum.
 */
public final class ConnectionShare {
    /** Assumed until the first list of daemons. */
    private static final int UNKNOWN_DAEMONS = 32;

    /** The rest is left for connections that are being closed and for daemons that restart. */
    private static final double USED_RATIO = 0.8;

    private static final int MIN_CONNECTIONS = 4;

    private ConnectionShare() {}

    /**
     * Returns the share of one daemon.
     *
     * @param maximumConnections the connections that a target accepts from all callers together; 0
     *     when it states no maximum
     * @param daemons the number of daemons; 0 when unknown
     * @return the maximum number of connections to one target
     */
    public static int of(int maximumConnections, int daemons) {
        if (maximumConnections < 0 || daemons < 0) {
            throw new IllegalArgumentException("maximumConnections or daemons is negative");
        }
        if (maximumConnections == 0) {
            return Integer.MAX_VALUE;
        }
        int sharing = daemons == 0 ? UNKNOWN_DAEMONS : daemons;
        return Math.max(MIN_CONNECTIONS, (int) (USED_RATIO * maximumConnections / sharing));
    }
}
