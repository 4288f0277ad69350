package org.tamaracktrack.core.dispatch;

import java.util.Objects;

/**
 * One send of a request to a target, and when the target has read it.
 *
 * <p>A closed connection does not recall what was sent on it: a target whose process is stopped
 * reads it from its socket when it continues, and a link or a queue may deliver it at any later
 * time, while the other connections of the target work. So a send that was not answered is
 * considered read only when the target has ended this connection and has been active after that, or
 * when the target's process has ended. Confined to the traffic thread.
 */
public final class Delivery {
    /**
     * Time in which data usually arrives, or is lost: enough for a link that loses several packets
     * in a row.
     */
    static final long IN_FLIGHT_MILLIS = 2_500;

    /** Time in which a target that continues has read what waits in its sockets. */
    private static final long BACKLOG_MILLIS = 1_000;

    /** Time in which a target that runs usually ends a connection that was closed. */
    private static final long USUAL_END_MILLIS = 500;

    private static final long UNKNOWN = Long.MAX_VALUE;
    private static final long NEVER = Long.MIN_VALUE / 2;

    private final TargetActivity target;
    private long closedMillis = UNKNOWN;
    private long endedMillis = UNKNOWN;
    private long readMillis = UNKNOWN;
    private boolean counted;

    private Delivery(TargetActivity target) {
        this.target = target;
    }

    /**
     * Returns a send that begins now.
     *
     * @param target the activity of the target
     * @return the send
     */
    public static Delivery to(TargetActivity target) {
        return new Delivery(Objects.requireNonNull(target, "target is null"));
    }

    /**
     * Records that the target has begun to answer.
     *
     * @param nowMillis the monotonic time in milliseconds
     */
    public void recordAnswer(long nowMillis) {
        readMillis = Math.min(readMillis, nowMillis);
    }

    /**
     * Records that this daemon no longer waits for an answer. This is no evidence that the request
     * was read.
     *
     * @param nowMillis the monotonic time in milliseconds
     */
    public void recordClose(long nowMillis) {
        closedMillis = Math.min(closedMillis, nowMillis);
    }

    /**
     * Records that the connection was ended from the other side.
     *
     * @param nowMillis the monotonic time in milliseconds
     */
    public void recordEnd(long nowMillis) {
        recordClose(nowMillis);
        endedMillis = Math.min(endedMillis, nowMillis);
    }

    /** Records that a retry counts until this send has been read. */
    void recordCounted() {
        counted = true;
    }

    /**
     * Returns whether a retry counts until this send has been read, so that the end of its
     * connection has to be observed.
     *
     * @return false for the only send of a request
     */
    public boolean isCounted() {
        return counted;
    }

    /**
     * Returns whether the target has read the request, or never will.
     *
     * @param nowMillis the monotonic time in milliseconds
     */
    boolean isRead(long nowMillis) {
        if (readMillis == UNKNOWN && closedMillis != UNKNOWN) {
            resolve(nowMillis);
        }
        return readMillis <= nowMillis;
    }

    /** Returns the time by which the target had read the request; very large when unknown. */
    long readMillis() {
        return readMillis;
    }

    /**
     * Returns the latest time at which the connection was known to be held: closed here, and for
     * some time neither answered nor ended from the other side.
     *
     * @param nowMillis the monotonic time in milliseconds
     * @return the time in milliseconds; very small when the connection was never held
     */
    long lastHeldMillis(long nowMillis) {
        long untilMillis = Math.min(nowMillis, endedMillis);
        return closedMillis != UNKNOWN && untilMillis - closedMillis >= USUAL_END_MILLIS
                ? untilMillis
                : NEVER;
    }

    // A link that resets the connection ends it here before a stopped target has read it, so the
    // target must have been active as well.
    private void resolve(long nowMillis) {
        if (endedMillis != UNKNOWN && target.lastActiveMillis() >= endedMillis + IN_FLIGHT_MILLIS) {
            readMillis = target.lastActiveMillis() + BACKLOG_MILLIS;
        } else if (nowMillis >= closedMillis + IN_FLIGHT_MILLIS && target.hasEnded()) {
            readMillis = nowMillis;
        }
    }
}
