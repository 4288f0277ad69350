package org.tamaracktrack.core.dispatch;

/**
 * The connections that one daemon may have at a target. A target resets connections beyond its
 * maximum, whoever opened them, and a request that was already on its way then has an unknown
 * outcome. The daemons share the maximum in proportion to the requests that each has at the target,
 * since the load balancer may hand most callers to one of them. Without requests the shares are
 * equal.
 */
public final class ConnectionShare {
    /** Assumed until the first list of daemons. */
    private static final int UNKNOWN_DAEMONS = 32;

    /**
     * The rest is left for connections that are being closed, for daemons that restart, and for
     * requests of others that are not known yet.
     */
    private static final double USED_RATIO = 0.8;

    /** A daemon without requests at a target can begin with one. */
    private static final int MIN_CONNECTIONS = 1;

    private ConnectionShare() {}

    /**
     * Returns the share of one daemon.
     *
     * @param maximumConnections the connections that a target accepts from all callers together; 0
     *     when it states no maximum
     * @param daemons the number of daemons; 0 when unknown
     * @param ownRequests the requests of this daemon at the target
     * @param otherRequests the requests of all other daemons there, as far as known
     * @return the maximum number of connections to the target
     */
    public static int of(int maximumConnections, int daemons, int ownRequests, int otherRequests) {
        if (maximumConnections < 0 || daemons < 0 || ownRequests < 0 || otherRequests < 0) {
            throw new IllegalArgumentException(
                    "maximumConnections, daemons or a number of requests is negative");
        }
        if (maximumConnections == 0) {
            return Integer.MAX_VALUE;
        }
        int sharing = daemons == 0 ? UNKNOWN_DAEMONS : daemons;
        double ratio = (ownRequests + 1.0) / (ownRequests + otherRequests + sharing);
        return Math.max(MIN_CONNECTIONS, (int) (USED_RATIO * maximumConnections * ratio));
    }
}
