package org.tamaracktrack.core.shutdown;

import org.tamaracktrack.core.error.ErrorCode;
import org.tamaracktrack.core.error.TamaracktrackException;

/**
 * The time that a planned stop may take. A request is sent to a target only while enough of it is
 * left for the answer; what still runs near its end is answered before the process ends.
 *
 * @param beganMillis when the stop began, by the monotonic clock
 * @param graceMillis how long it may take, in milliseconds
 */
public record GracePeriod(long beganMillis, long graceMillis) {
    /** The load balancer needs two failed checks, a second apart, to stop sending. */
    private static final long MAX_ACCEPT_MILLIS = 2_500;

    private static final int ACCEPT_PART = 3;
    private static final int RETRY_PART = 2;

    /** Time for the last answers to reach their callers, also from a busy process. */
    private static final long MIN_ANSWER_MILLIS = 700;

    private static final int ANSWER_PART = 8;

    /**
     * Checks the time.
     *
     * @throws TamaracktrackException with {@code INVALID_SETTINGS} when it is negative
     */
    public GracePeriod {
        if (graceMillis < 0) {
            throw TamaracktrackException.of(
                    ErrorCode.INVALID_SETTINGS, "grace is negative: " + graceMillis);
        }
    }

    /**
     * Returns whether a request may be accepted, and sent to a first target.
     *
     * @param nowMillis the current time
     * @return false from a third of the grace period on, and from the time on at which the load
     *     balancer has ceased to send
     */
    public boolean acceptsRequests(long nowMillis) {
        return elapsedMillis(nowMillis) < Math.min(MAX_ACCEPT_MILLIS, graceMillis / ACCEPT_PART);
    }

    /**
     * Returns whether a request that has reached a target may be sent to another one.
     *
     * @param nowMillis the current time
     * @return false from the middle of the grace period on
     */
    public boolean allowsRetries(long nowMillis) {
        return elapsedMillis(nowMillis) < graceMillis / RETRY_PART;
    }

    /**
     * Returns whether requests without a part of an answer must be answered now, whatever becomes
     * of them at their targets.
     *
     * @param nowMillis the current time
     * @return true near the end of the grace period
     */
    public boolean endsRequests(long nowMillis) {
        long answerMillis = Math.max(MIN_ANSWER_MILLIS, graceMillis / ANSWER_PART);
        return elapsedMillis(nowMillis) >= graceMillis - answerMillis;
    }

    private long elapsedMillis(long nowMillis) {
        return nowMillis - beganMillis;
    }
}
