package org.tamaracktrack.core.dispatch;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.PriorityQueue;
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

    /**
     * Time in which a request usually arrives at this daemon and its retry at the target, or is
     * lost: enough for a link that loses several packets in a row.
     */
    private static final long IN_FLIGHT_MILLIS = 2_500;

    /**
     * Lifetime of credit, relative to the window. A longer one pays for larger bursts of retries,
     * as when targets end, and for fewer retries per request.
     */
    private static final double CREDIT_LIFETIME_RATIO = 0.54;

    /** Upper bound of the rounding errors of sums. */
    private static final double ROUNDING = 1e-6;

    private final LongToDoubleFunction slackShare;
    private final PriorityQueue<Long> requests = new PriorityQueue<>();
    private final PriorityQueue<Credit> credits =
            new PriorityQueue<>(Comparator.comparingLong(Credit::sentMillis));
    private final List<Retry> retries = new ArrayList<>();
    private FleetRetryBudget budget;
    private double unspentRequests;

    /** The part of a request, from 0 to 1, whose credit is not spent. */
    private record Credit(long sentMillis, double unspent) {}

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

    /**
     * A retry that is sent to a target. It counts from its acquisition until a window after it has
     * arrived. When it arrives is known only afterwards: a link that loses packets can hold it back
     * for seconds, and deliver it together with retries that are sent much later.
     */
    public static final class Retry {
        private static final long UNKNOWN = Long.MAX_VALUE;

        private final double slack;
        private long arrivedByMillis = UNKNOWN;

        private Retry(double slack) {
            this.slack = slack;
        }

        /**
         * Records that the target has begun to answer.
         *
         * @param nowMillis the monotonic time in milliseconds
         */
        public void recordAnswer(long nowMillis) {
            arrivedByMillis = Math.min(arrivedByMillis, nowMillis);
        }

        /**
         * Records that the connection was closed. Without an answer, what was sent before may still
         * be on its way.
         *
         * @param nowMillis the monotonic time in milliseconds
         */
        public void recordEnd(long nowMillis) {
            arrivedByMillis = Math.min(arrivedByMillis, nowMillis + IN_FLIGHT_MILLIS);
        }

        private boolean isOlderThan(long windowMillis, long nowMillis) {
            return arrivedByMillis != UNKNOWN && nowMillis - arrivedByMillis > windowMillis;
        }
    }

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
     * @param sentMillis the earliest time at which the caller may have sent it, by the monotonic
     *     clock, in milliseconds
     * @param nowMillis the monotonic time in milliseconds
     */
    public void recordRequest(long sentMillis, long nowMillis) {
        expire(nowMillis);
        requests.add(sentMillis);
        credits.add(new Credit(sentMillis, 1));
        unspentRequests++;
    }

    /**
     * Returns whether a retry is allowed now.
     *
     * @param nowMillis the monotonic time in milliseconds
     * @return false when credit and slack are exhausted
     */
    public boolean allowsRetry(long nowMillis) {
        expire(nowMillis);
        double slack = slackForRetry();
        return slack <= ROUNDING || slack <= remainingSlack(nowMillis) + ROUNDING;
    }

    /**
     * Acquires permission for one retry, from the credit first and then from the slack. Called
     * right before the retry is sent, since retries count from then on.
     *
     * @param nowMillis the monotonic time in milliseconds
     * @return the retry; empty when credit and slack are exhausted
     */
    public Optional<Retry> tryAcquire(long nowMillis) {
        if (!allowsRetry(nowMillis)) {
            return Optional.empty();
        }
        Retry retry = new Retry(slackForRetry());
        spend(1 - retry.slack);
        retries.add(retry);
        return Optional.of(retry);
    }

    private double slackForRetry() {
        return 1 - Math.min(1, remainingCredit());
    }

    /**
     * Ages the requests by a time during which the monotonic clock stood still. Earlier retries
     * still count.
     *
     * @param millis the time in milliseconds
     */
    public void recordSuspension(long millis) {
        List<Long> requestTimes = List.copyOf(requests);
        requests.clear();
        requestTimes.forEach(sentMillis -> requests.add(sentMillis - millis));
        List<Credit> earned = List.copyOf(credits);
        credits.clear();
        earned.forEach(
                credit -> credits.add(new Credit(credit.sentMillis() - millis, credit.unspent())));
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

    // For tests: state() discards expired requests before it counts.
    int trackedRequests() {
        return requests.size();
    }

    // Requests of a window, and those sent before it within the lifetime of credit and the time in
    // flight, can pay for the retries that arrive in it.
    private double creditPerRequest() {
        return budget.ratio()
                * budget.windowMillis()
                / (budget.windowMillis() + creditLifetimeMillis() + inFlightMillis());
    }

    private long inFlightMillis() {
        return Math.min(IN_FLIGHT_MILLIS, budget.windowMillis() / 4);
    }

    private long creditLifetimeMillis() {
        return (long) (budget.windowMillis() * CREDIT_LIFETIME_RATIO);
    }

    // Between two bursts of requests the credits of both could be spent in one window, so credit is
    // also bounded by the requests of the window itself.
    private double remainingCredit() {
        double creditOfWindow =
                budget.ratio() * SAFETY_FACTOR * requests.size() - (retries.size() - slackUsed());
        return Math.max(0, Math.min(creditOfWindow, unspentRequests * creditPerRequest()));
    }

    private void spend(double credit) {
        double spent = credit == 0 ? 0 : credit / creditPerRequest();
        while (spent > ROUNDING && !credits.isEmpty()) {
            Credit oldest = takeOldestCredit();
            if (oldest.unspent() > spent) {
                Credit rest = new Credit(oldest.sentMillis(), oldest.unspent() - spent);
                credits.add(rest);
                unspentRequests += rest.unspent();
            }
            spent -= oldest.unspent();
        }
    }

    private Credit takeOldestCredit() {
        Credit oldest = credits.remove();
        // Without credits the sum is zero; this discards its rounding errors.
        unspentRequests = credits.isEmpty() ? 0 : unspentRequests - oldest.unspent();
        return oldest;
    }

    private double remainingSlack(long nowMillis) {
        return budget.slack() * slackShare.applyAsDouble(nowMillis) - slackUsed();
    }

    private double slackUsed() {
        return retries.stream().mapToDouble(retry -> retry.slack).sum();
    }

    private void expire(long nowMillis) {
        long window = budget.windowMillis();
        // Requests expire earlier than retries, since a retry may arrive in a later window than the
        // request that earned it.
        while (!requests.isEmpty() && nowMillis - requests.peek() > window - inFlightMillis()) {
            requests.remove();
        }
        while (!credits.isEmpty()
                && nowMillis - credits.peek().sentMillis() > creditLifetimeMillis()) {
            takeOldestCredit();
        }
        retries.removeIf(retry -> retry.isOlderThan(window, nowMillis));
    }
}
