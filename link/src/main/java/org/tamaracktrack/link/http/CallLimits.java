package org.tamaracktrack.link.http;

/**
 * How long the parts of a call may take.
 *
 * @param totalMillis all of it
 * @param connectMillis opening a connection
 * @param idleMillis how long a kept connection may have been idle to be used for it. A server may
 *     be closing a connection just as a call is sent on it; the call then fails with its outcome
 *     unknown though it never ran, so a call that must not be repeated takes young ones only
 */
public record CallLimits(long totalMillis, long connectMillis, long idleMillis) {
    /** Young enough for servers that close idle connections after 15 s or more. */
    private static final long IDLE_MILLIS = 10_000;

    /**
     * Returns limits with one for all of the call.
     *
     * @param totalMillis how long all of it may take
     * @return the limits
     */
    public static CallLimits of(long totalMillis) {
        return new CallLimits(totalMillis, totalMillis, IDLE_MILLIS);
    }
}
