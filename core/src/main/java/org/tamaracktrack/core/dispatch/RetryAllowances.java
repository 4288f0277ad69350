package org.tamaracktrack.core.dispatch;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import org.tamaracktrack.core.fleet.TargetEntry;
import org.tamaracktrack.core.id.ServiceId;
import org.tamaracktrack.core.knowledge.DualTimestamp;

/** The retry allowances of one daemon, by service. Confined to the traffic thread. */
public final class RetryAllowances {
    private final Map<ServiceId, RetryAllowance> allowances = new HashMap<>();
    private final long startedMillis;
    private final UnseenTargets unseenTargets = new UnseenTargets();
    private FleetRetryBudget budget;
    private SlackShare slackShare;
    private DualTimestamp lastReading;

    private RetryAllowances(FleetRetryBudget budget, DualTimestamp now) {
        this.budget = budget;
        this.lastReading = now;
        this.startedMillis = now.steadyMillis();
        this.slackShare = SlackShare.of(budget.windowMillis());
    }

    /**
     * Returns the allowances of a daemon that has just started.
     *
     * @param budget the budget of all daemons together, for each service
     * @param now the current time
     * @return the allowances
     */
    public static RetryAllowances of(FleetRetryBudget budget, DualTimestamp now) {
        Objects.requireNonNull(budget, "budget is null");
        Objects.requireNonNull(now, "now is null");
        return new RetryAllowances(budget, now);
    }

    /**
     * Returns the allowance of a service.
     *
     * @param service the service
     * @param now the current time
     * @return the allowance
     */
    public RetryAllowance allowance(ServiceId service, DualTimestamp now) {
        applyClocks(now);
        return allowances.computeIfAbsent(
                service,
                name ->
                        RetryAllowance.of(
                                budget, millis -> slackShareOf(service, millis), startedMillis));
    }

    // What a predecessor of this daemon left in the sockets of a stopped target is not known here,
    // but the predecessor may have used the same share for it. Read by the target, it counts for a
    // window.
    private double slackShareOf(ServiceId service, long nowMillis) {
        return unseenTargets.existedInWindow(service, budget.windowMillis(), nowMillis)
                ? 0
                : slackShare.share(nowMillis);
    }

    /**
     * Records that a request is sent to a target.
     *
     * @param entry the target
     * @param target its activity as this daemon has seen it since it started
     * @param nowMillis the monotonic time in milliseconds
     */
    public void recordSend(TargetEntry entry, TargetActivity target, long nowMillis) {
        unseenTargets.recordSend(entry, target, nowMillis);
    }

    /**
     * Records the number of daemons on a list of daemons that contains this one.
     *
     * @param daemons the number of daemons on the list
     * @param atMillis when the list was valid, by the monotonic clock, in milliseconds
     * @param now the current time
     */
    public void recordDaemonCount(int daemons, long atMillis, DualTimestamp now) {
        applyClocks(now);
        slackShare.recordDaemonCount(daemons, atMillis);
    }

    /**
     * Replaces the budget. Earlier requests and retries still count.
     *
     * @param newer the new budget
     */
    public void updateBudget(FleetRetryBudget newer) {
        Objects.requireNonNull(newer, "newer is null");
        if (newer.windowMillis() != budget.windowMillis()) {
            slackShare = SlackShare.of(newer.windowMillis());
        }
        budget = newer;
        allowances.values().forEach(allowance -> allowance.updateBudget(newer));
    }

    // After a suspension, old requests would otherwise earn credit as if they were recent, and this
    // daemon would use a share of the slack that other daemons have taken over.
    private void applyClocks(DualTimestamp now) {
        if (now.clocksDivergedSince(lastReading)) {
            long suspendedMillis = suspendedMillis(now);
            allowances.values().forEach(allowance -> allowance.recordSuspension(suspendedMillis));
            slackShare.restartAfterFreeze();
        }
        lastReading = now;
    }

    // The time of day was set back if it has advanced less than the monotonic clock. A suspension
    // at the same time would go unnoticed, so all credit expires.
    private long suspendedMillis(DualTimestamp now) {
        long differenceMillis =
                now.dayMillis()
                        - lastReading.dayMillis()
                        - (now.steadyMillis() - lastReading.steadyMillis());
        return differenceMillis > 0 ? differenceMillis : budget.windowMillis();
    }
}
