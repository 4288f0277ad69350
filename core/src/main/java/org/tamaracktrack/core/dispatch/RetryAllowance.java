package org.tamaracktrack.core.dispatch;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Objects;
import java.util.function.LongToDoubleFunction;

/**
 * The part of the {@link FleetRetryBudget} of a service that one daemon may use.
 *
 * <p>Without a bound, refusals by all targets would turn each request into several, and the load
 * that caused the refusals would persist. Each request of a caller at this daemon earns a fraction
 * of a retry, which expires; a daemon that starts has no credit. The sum over any number of daemons
 * is therefore bounded by the requests of all of them, without communication. Only the slack has to
 * be divided among the daemons. Confined to the traffic thread.
 */
public final class RetryAllowance {
    /**
     * Below 1, since callers move between daemons and the windows of the daemons end at different
     * times.
     */
    private static final double SAFETY_FACTOR = 0.85;

    /** Longest time between the acquisition of a retry and its arrival at the target. */
    private static final long MAX_IN_FLIGHT_MILLIS = 1_000;

    /** Requests that arrived during a freeze of the process are read within this time after it. */
    private static final long BACKLOG_MILLIS = 1_000;

    /** Upper bound of the rounding errors of sums. */
    private static final double ROUNDING = 1e-6;

    private final LongToDoubleFunction slackShare;
    private final Deque<Long> requests = new ArrayDeque<>();
    private final Deque<Long> credits = new ArrayDeque<>();
    private final Deque<Retry> retries = new ArrayDeque<>();
    private FleetRetryBudget budget;
    private double spentOfOldestCredit;
    private long earningResumesAtMillis = Long.MIN_VALUE;

    /**
     * The values that decide whether a retry is allowed.
     *
     * @param requests requests of callers in the window
     * @param retries retries in the window
     * @param credit retries that requests have earned and that are allowed now
     * @param slack retries that are allowed in addition
     */
    public record State(int requests, int retries, double credit, double slack) {
        /** Returns the number of retries that are allowed now. */
        public double remaining() {
            return credit + slack;
        }
    }

    /** A retry, and the fraction of it that was taken from the slack. */
    private record Retry(long atMillis, double slack) {}

    private RetryAllowance(FleetRetryBudget budget, LongToDoubleFunction slackShare) {
        this.budget = budget;
        this.slackShare = slackShare;
    }

    /**
     * Returns an allowance without credit.
     *
     * @param budget the budget of all daemons together
     * @param slackShare this daemon's share of the slack, from 0 to 1, by the monotonic time in
     *     milliseconds
     * @return the allowance
     */
    public static RetryAllowance of(FleetRetryBudget budget, LongToDoubleFunction slackShare) {
        Objects.requireNonNull(budget, "budget is null");
        Objects.requireNonNull(slackShare, "slackShare is null");
        return new RetryAllowance(budget, slackShare);
    }

    /**
     * Records a request of a caller, which earns credit.
     *
     * @param nowMillis the monotonic time in milliseconds
     */
    public void recordRequest(long nowMillis) {
        expire(nowMillis);
        if (nowMillis >= earningResumesAtMillis) {
            requests.addLast(nowMillis);
            credits.addLast(nowMillis);
        }
    }

    /**
     * Acquires permission for one retry, from the credit first and then from the slack.
     *
     * @param nowMillis the monotonic time in milliseconds
     * @return false when credit and slack are exhausted
     */
    public boolean tryAcquire(long nowMillis) {
        expire(nowMillis);
        double credit = Math.min(1, remainingCredit());
        double slack = 1 - credit;
        if (slack > ROUNDING && slack > remainingSlack(nowMillis) + ROUNDING) {
            return false;
        }
        spend(credit);
        retries.addLast(new Retry(nowMillis, slack));
        return true;
    }

    /**
     * Discards the credit after a freeze of the process: requests from before the freeze, and those
     * that callers sent during it and that are read now, earn nothing. Earlier retries still count.
     *
     * @param nowMillis the monotonic time in milliseconds
     */
    public void restartAfterFreeze(long nowMillis) {
        requests.clear();
        credits.clear();
        spentOfOldestCredit = 0;
        earningResumesAtMillis = nowMillis + BACKLOG_MILLIS;
    }

    /**
     * Replaces the budget. Earlier requests and retries still count.
     *
     * @param newer the new budget
     */
    public void updateBudget(FleetRetryBudget newer) {
        budget = newer;
    }

    /**
     * Returns the values that decide whether a retry is allowed now.
     *
     * @param nowMillis the monotonic time in milliseconds
     * @return the state
     */
    public State state(long nowMillis) {
        expire(nowMillis);
        return new State(
                requests.size(),
                retries.size(),
                remainingCredit(),
                Math.max(0, remainingSlack(nowMillis)));
    }

    // Requests of a window, and those sent before it within the lifetime of credit and the time in
    // flight, can pay for the retries that arrive in it.
    private double creditPerRequest() {
        return budget.ratio()
                * budget.windowMillis()
                / (budget.windowMillis() + creditLifetimeMillis() + inFlightMillis());
    }

    private long inFlightMillis() {
        return Math.min(MAX_IN_FLIGHT_MILLIS, budget.windowMillis() / 4);
    }

    private long creditLifetimeMillis() {
        return budget.windowMillis() / 2;
    }

    // Between two bursts of requests the credits of both could be spent in one window, so credit is
    // also bounded by the requests of the window itself.
    private double remainingCredit() {
        double creditOfWindow =
                budget.ratio() * SAFETY_FACTOR * requests.size() - (retries.size() - slackUsed());
        return Math.max(
                0,
                Math.min(
                        creditOfWindow, credits.size() * creditPerRequest() - spentOfOldestCredit));
    }

    private void spend(double credit) {
        spentOfOldestCredit += credit;
        double earned = creditPerRequest();
        while (!credits.isEmpty() && spentOfOldestCredit >= earned - ROUNDING) {
            credits.removeFirst();
            spentOfOldestCredit = Math.max(0, spentOfOldestCredit - earned);
        }
    }

    private double remainingSlack(long nowMillis) {
        return budget.slack() * slackShare.applyAsDouble(nowMillis) - slackUsed();
    }

    private double slackUsed() {
        return retries.stream().mapToDouble(Retry::slack).sum();
    }

    private void expire(long nowMillis) {
        long window = budget.windowMillis();
        // Requests expire earlier than retries, since a retry may arrive in a later window than the
        // request that earned it.
        while (!requests.isEmpty()
                && nowMillis - requests.peekFirst() > window - inFlightMillis()) {
            requests.removeFirst();
        }
        while (!credits.isEmpty() && nowMillis - credits.peekFirst() > creditLifetimeMillis()) {
            credits.removeFirst();
            spentOfOldestCredit = 0;
        }
        while (!retries.isEmpty()
                && nowMillis - retries.peekFirst().atMillis() > window + inFlightMillis()) {
            retries.removeFirst();
        }
    }
}
