package org.tamaracktrack.core.dispatch;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * One daemon's share of the repeats that all daemons together may send to a service: a part of the
 * requests that callers sent through this daemon in a sliding window, and a few besides.
 *
 * <p>When every target refuses, each request would become several and the load that caused the
 * refusals would outlast its cause. Since each daemon counts only its own callers' requests, the
 * shares add up to no more than the whole at any spread of the traffic and with no exchange between
 * daemons. Owned by the traffic thread.
 */
public final class RetryAllowance {
    /** Kept back, since other daemons' windows end at other moments. */
    private static final double MARGIN = 0.85;

    private final double ratio;
    private final long windowMillis;
    private final double besides;
    private final Deque<Long> requests = new ArrayDeque<>();
    private final Deque<Long> repeats = new ArrayDeque<>();

    /**
     * What an allowance decides by.
     *
     * @param requests of callers in the window
     * @param repeats in the window
     * @param left repeats that may follow now
     */
    public record State(int requests, int repeats, double left) {}

    private RetryAllowance(double ratio, long windowMillis, double besides) {
        this.ratio = ratio;
        this.windowMillis = windowMillis;
        this.besides = besides;
    }

    /**
     * Returns an allowance from which nothing was taken.
     *
     * @param ratio repeats for each request of callers
     * @param windowMillis the window over which both are counted
     * @param besides repeats in a window without any request
     * @return the allowance
     */
    public static RetryAllowance of(double ratio, long windowMillis, double besides) {
        return new RetryAllowance(ratio, windowMillis, besides);
    }

    /**
     * A caller sent a request.
     *
     * @param nowMillis the monotonic time
     */
    public void request(long nowMillis) {
        forget(nowMillis);
        requests.addLast(nowMillis);
    }

    /**
     * Takes one repeat.
     *
     * @param nowMillis the monotonic time
     * @return false when the share is used up
     */
    public boolean take(long nowMillis) {
        forget(nowMillis);
        if (repeats.size() + 1 > share()) {
            return false;
        }
        repeats.addLast(nowMillis);
        return true;
    }

    /**
     * Tells what the next repeat would be decided by.
     *
     * @param nowMillis the monotonic time
     * @return the state
     */
    public State state(long nowMillis) {
        forget(nowMillis);
        return new State(requests.size(), repeats.size(), share() - repeats.size());
    }

    private double share() {
        return ratio * MARGIN * requests.size() + besides;
    }

    private void forget(long nowMillis) {
        forget(requests, nowMillis);
        forget(repeats, nowMillis);
    }

    private void forget(Deque<Long> times, long nowMillis) {
        while (!times.isEmpty() && nowMillis - times.peekFirst() > windowMillis) {
            times.removeFirst();
        }
    }
}
