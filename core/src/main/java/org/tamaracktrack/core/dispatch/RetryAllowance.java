package org.tamaracktrack.core.dispatch;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Objects;
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
     * Lifetime of credit, relative to the window. A longer one pays for larger bursts of retries,
     * as when targets end, and for fewer retries per request.
     */
    private static final double CREDIT_LIFETIME_RATIO = 0.54;

    /** Upper bound of the rounding errors of sums. */
    private static final double ROUNDING = 1e-6;

    private final LongToDoubleFunction slackShare;
    private final InheritedRetries inherited;
    private final PriorityQueue<Long> requests = new PriorityQueue<>();
    private final PriorityQueue<Credit> credits =
            new PriorityQueue<>(Comparator.comparingLong(Credit::sentMillis));
    private final List<Retry> retries = new ArrayList<>();
    private FleetRetryBudget budget;
    private double unspentRequests;
    private double slackUsed;
    private List<Retry> overdue = List.of();
    private long retriesExpiredMillis = Long.MIN_VALUE;

    /** The part of a request, from 0 to 1, whose credit is not spent. */
    private record Credit(long sentMillis, double unspent) {}

    /**
     * The values that decide whether a retry is allowed.
     *
     * @param requests requests of callers in the window
     * @param retries retries in the window
     * @param unread those of the retries that were sent more than a window ago and that targets may
     *     still read
     * @param credit retries that requests have earned and that are allowed now
     * @param slack retries that are allowed in addition
     */
    public record State(int requests, int retries, int unread, double credit, double slack) {
        /** Returns the number of retries that are allowed now. */
        public double remaining() {
            return credit + slack;
        }
    }

    /**
     * A retry, which counts from its acquisition until a window after all sends of its request so
     * far have been read. An earlier send that is read later than the retry is the one beyond the
     * first then.
     */
    private record Retry(double slack, long acquiredMillis, List<Delivery> deliveries) {
        boolean isUnread(long nowMillis) {
            return deliveries.stream().anyMatch(delivery -> !delivery.isRead(nowMillis));
        }

        boolean hasExpired(long windowMillis, long nowMillis) {
            return !isUnread(nowMillis)
                    && deliveries.stream()
                            .allMatch(delivery -> nowMillis - delivery.readMillis() > windowMillis);
        }

        boolean isOverdue(long windowMillis, long nowMillis) {
            return nowMillis - acquiredMillis > windowMillis && isUnread(nowMillis);
        }
    }

    private RetryAllowance(
            FleetRetryBudget budget, LongToDoubleFunction slackShare, long startedMillis) {
        this.budget = budget;
        this.slackShare = slackShare;
        this.inherited = InheritedRetries.since(startedMillis);
    }

    /**
     * Returns an allowance without credit.
     *
     * @param budget the budget of all daemons together
     * @param slackShare this daemon's share of the slack, from 0 to 1, by the monotonic time in
     *     milliseconds
     * @param startedMillis when this daemon started, by the monotonic clock
     * @return the allowance
     */
    public static RetryAllowance of(
            FleetRetryBudget budget, LongToDoubleFunction slackShare, long startedMillis) {
        Objects.requireNonNull(budget, "budget is null");
        Objects.requireNonNull(slackShare, "slackShare is null");
        return new RetryAllowance(budget, slackShare, startedMillis);
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
     * @param deliveries the retry and the earlier sends of its request
     * @param nowMillis the monotonic time in milliseconds
     * @return false when credit and slack are exhausted
     */
    public boolean tryAcquire(List<Delivery> deliveries, long nowMillis) {
        if (!allowsRetry(nowMillis)) {
            return false;
        }
        Retry retry = new Retry(slackForRetry(), nowMillis, List.copyOf(deliveries));
        deliveries.forEach(Delivery::recordCounted);
        spend(1 - retry.slack());
        retries.add(retry);
        slackUsed += retry.slack();
        return true;
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
        retriesExpiredMillis = Long.MIN_VALUE;
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
                overdue.size(),
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
        return Math.min(Delivery.IN_FLIGHT_MILLIS, budget.windowMillis() / 4);
    }

    private long creditLifetimeMillis() {
        return (long) (budget.windowMillis() * CREDIT_LIFETIME_RATIO);
    }

    // Between two bursts of requests the credits of both could be spent in one window, so credit is
    // also bounded by the requests of the window itself.
    private double remainingCredit() {
        double creditOfWindow =
                budget.ratio() * SAFETY_FACTOR * requests.size() - (retries.size() - slackUsed);
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
        double share =
                inherited.mayExist(budget.windowMillis(), nowMillis)
                        ? 0
                        : slackShare.applyAsDouble(nowMillis);
        return budget.slack() * share - slackUsed - overdueCredit();
    }

    // Retries that are still unread will arrive in a later window than that of the requests which
    // paid for them, so the slack has to cover those that its own requests don't.
    private double overdueCredit() {
        double credit = overdue.stream().mapToDouble(retry -> 1 - retry.slack()).sum();
        return Math.max(0, credit - budget.ratio() * SAFETY_FACTOR * requests.size());
    }

    private void expire(long nowMillis) {
        // Requests expire earlier than retries, since a retry may arrive in a later window than the
        // request that earned it.
        while (!requests.isEmpty()
                && nowMillis - requests.peek() > budget.windowMillis() - inFlightMillis()) {
            requests.remove();
        }
        while (!credits.isEmpty()
                && nowMillis - credits.peek().sentMillis() > creditLifetimeMillis()) {
            takeOldestCredit();
        }
        if (nowMillis != retriesExpiredMillis) {
            expireRetries(nowMillis);
        }
    }

    private void expireRetries(long nowMillis) {
        retriesExpiredMillis = nowMillis;
        retries.stream()
                .flatMap(retry -> retry.deliveries().stream())
                .mapToLong(delivery -> delivery.lastHeldMillis(nowMillis))
                .forEach(inherited::recordHeldConnection);
        long window = budget.windowMillis();
        retries.removeIf(retry -> retry.hasExpired(window, nowMillis));
        slackUsed = retries.stream().mapToDouble(Retry::slack).sum();
        overdue = retries.stream().filter(retry -> retry.isOverdue(window, nowMillis)).toList();
    }
}
