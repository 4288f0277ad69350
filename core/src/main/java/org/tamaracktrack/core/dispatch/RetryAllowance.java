package org.tamaracktrack.core.dispatch;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Objects;
import java.util.function.LongToDoubleFunction;

/**
 * What one daemon may send to a service of the repeats that all daemons together may send to it.
 *
 * <p>When every target refuses, each request would become several and the load that caused the
 * refusals would outlast its cause. Each request of a caller at this daemon earns a part of a
 * repeat, which lapses; a daemon that starts has earned nothing. So the sum over any number of
 * daemons is bounded by the requests of all, with no exchange between them. Only the slack has to
 * be divided. Owned by the traffic thread.
 */
public final class RetryAllowance {
    /** Kept back, since callers move and other daemons' windows end at other moments. */
    private static final double MARGIN = 0.85;

    /** How long after it was taken a repeat may still reach its target, in milliseconds. */
    private static final long MOST_UNDER_WAY_MILLIS = 1_000;

    /** What came while the process stood still is read within this time, in milliseconds. */
    private static final long BACKLOG_MILLIS = 1_000;

    /** Rounding errors of sums stay below this. */
    private static final double ROUNDING = 1e-6;

    private final LongToDoubleFunction slackPart;
    private final Deque<Long> requests = new ArrayDeque<>();
    private final Deque<Long> credits = new ArrayDeque<>();
    private final Deque<Repeat> repeats = new ArrayDeque<>();
    private FleetRetryBudget budget;
    private double spentOfOldest;
    private long earnsFromMillis = Long.MIN_VALUE;

    /**
     * What an allowance decides by.
     *
     * @param requests of callers in the window
     * @param repeats in the window
     * @param credit repeats that requests have earned and that may follow now
     * @param slack repeats that may follow besides
     */
    public record State(int requests, int repeats, double credit, double slack) {
        /** Returns how many repeats may follow now. */
        public double left() {
            return credit + slack;
        }
    }

    /** A repeat, and how much of it the slack paid for. */
    private record Repeat(long atMillis, double slack) {}

    private RetryAllowance(FleetRetryBudget budget, LongToDoubleFunction slackPart) {
        this.budget = budget;
        this.slackPart = slackPart;
    }

    /**
     * Returns an allowance for which no request has earned anything.
     *
     * @param budget the bound for all daemons together
     * @param slackPart this daemon's part of the slack, from 0 to 1, at a monotonic time in
     *     milliseconds
     * @return the allowance
     */
    public static RetryAllowance of(FleetRetryBudget budget, LongToDoubleFunction slackPart) {
        Objects.requireNonNull(budget, "budget is null");
        Objects.requireNonNull(slackPart, "slackPart is null");
        return new RetryAllowance(budget, slackPart);
    }

    /**
     * A caller sent a request.
     *
     * @param nowMillis the monotonic time
     */
    public void request(long nowMillis) {
        forget(nowMillis);
        if (nowMillis >= earnsFromMillis) {
            requests.addLast(nowMillis);
            credits.addLast(nowMillis);
        }
    }

    /**
     * Takes one repeat.
     *
     * @param nowMillis the monotonic time
     * @return false when nothing is left to pay for it
     */
    public boolean take(long nowMillis) {
        forget(nowMillis);
        double credit = Math.min(1, creditLeft());
        double slack = 1 - credit;
        if (slack > ROUNDING && slack > slackLeft(nowMillis) + ROUNDING) {
            return false;
        }
        spend(credit);
        repeats.addLast(new Repeat(nowMillis, slack));
        return true;
    }

    /**
     * Begins anew after the process stood still: requests of before, and those that callers sent
     * meanwhile and that are read now, earn nothing. Repeats still count.
     *
     * @param nowMillis the monotonic time
     */
    public void restart(long nowMillis) {
        requests.clear();
        credits.clear();
        spentOfOldest = 0;
        earnsFromMillis = nowMillis + BACKLOG_MILLIS;
    }

    /**
     * Takes another bound. What was earned and sent before still counts.
     *
     * @param newer the bound
     */
    public void limit(FleetRetryBudget newer) {
        budget = newer;
    }

    /**
     * Tells what the next repeat would be decided by.
     *
     * @param nowMillis the monotonic time
     * @return the state
     */
    public State state(long nowMillis) {
        forget(nowMillis);
        return new State(
                requests.size(), repeats.size(), creditLeft(), Math.max(0, slackLeft(nowMillis)));
    }

    // Requests of a window and of the credits' lifetime before it may pay for the repeats that
    // arrive in it.
    private double earned() {
        return budget.ratio()
                * budget.windowMillis()
                / (budget.windowMillis() + lifetimeMillis() + underWayMillis());
    }

    private long underWayMillis() {
        return Math.min(MOST_UNDER_WAY_MILLIS, budget.windowMillis() / 4);
    }

    private long lifetimeMillis() {
        return budget.windowMillis() / 2;
    }

    // Between two bursts of callers the credits of both would come together; the requests of the
    // window itself bound them.
    private double creditLeft() {
        double ofWindow =
                budget.ratio() * MARGIN * requests.size() - (repeats.size() - slackUsed());
        return Math.max(0, Math.min(ofWindow, credits.size() * earned() - spentOfOldest));
    }

    private void spend(double credit) {
        spentOfOldest += credit;
        double earned = earned();
        while (!credits.isEmpty() && spentOfOldest >= earned - ROUNDING) {
            credits.removeFirst();
            spentOfOldest = Math.max(0, spentOfOldest - earned);
        }
    }

    private double slackLeft(long nowMillis) {
        return budget.slack() * slackPart.applyAsDouble(nowMillis) - slackUsed();
    }

    private double slackUsed() {
        return repeats.stream().mapToDouble(Repeat::slack).sum();
    }

    private void forget(long nowMillis) {
        long window = budget.windowMillis();
        // Shorter for requests than for repeats, since a repeat may arrive in a later window than
        // the request that it was earned by.
        while (!requests.isEmpty()
                && nowMillis - requests.peekFirst() > window - underWayMillis()) {
            requests.removeFirst();
        }
        while (!credits.isEmpty() && nowMillis - credits.peekFirst() > lifetimeMillis()) {
            credits.removeFirst();
            spentOfOldest = 0;
        }
        while (!repeats.isEmpty()
                && nowMillis - repeats.peekFirst().atMillis() > window + underWayMillis()) {
            repeats.removeFirst();
        }
    }
}
