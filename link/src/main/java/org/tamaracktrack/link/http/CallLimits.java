package org.tamaracktrack.link.http;

/**
 * The limits of an HTTP call.
 *
 * @param totalMillis the time limit of the whole call, in milliseconds
 * @param connectMillis the time limit for opening a connection, in milliseconds
 * @param idleMillis the maximum time in milliseconds for which a pooled connection may have been
 *     idle to be reused for the call. A server may close a connection just as a call is sent on it;
 *     the call then fails with an unknown outcome although the server never executed it. A call
 *     that must not be repeated therefore uses only connections that were idle for a short time
 * @param maxConnections the number of connections to the address, including idle ones, above which
 *     idle ones are closed
 */
public record CallLimits(
        long totalMillis, long connectMillis, long idleMillis, int maxConnections) {
    /** Short enough for servers that close idle connections after 15 s or more. */
    private static final long DEFAULT_IDLE_MILLIS = 10_000;

    /**
     * Returns limits without a maximum number of connections.
     *
     * @param totalMillis the time limit of the whole call, in milliseconds
     * @param connectMillis the time limit for opening a connection, in milliseconds
     * @param idleMillis the maximum idle time of a pooled connection, in milliseconds
     * @return the limits
     */
    public static CallLimits of(long totalMillis, long connectMillis, long idleMillis) {
        return new CallLimits(totalMillis, connectMillis, idleMillis, Integer.MAX_VALUE);
    }

    /**
     * Returns limits in which the total applies to opening a connection as well.
     *
     * @param totalMillis the time limit of the whole call, in milliseconds
     * @return the limits
     */
    public static CallLimits of(long totalMillis) {
        return of(totalMillis, totalMillis, DEFAULT_IDLE_MILLIS);
    }
}
