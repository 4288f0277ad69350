package org.tamaracktrack.core.dispatch;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import org.tamaracktrack.core.id.ServiceId;
import org.tamaracktrack.core.lease.FreezeDetector;

/** The retry allowances of one daemon, by service. Confined to the traffic thread. */
public final class RetryAllowances {
    private static final long NEVER = Long.MIN_VALUE / 2;

    private final Map<ServiceId, RetryAllowance> allowances = new HashMap<>();
    private final FreezeDetector freezeDetector;
    private FleetRetryBudget budget;
    private SlackShare slackShare;
    private long lastFreezeMillis = NEVER;

    private RetryAllowances(FleetRetryBudget budget, FreezeDetector freezes) {
        this.budget = budget;
        this.freezeDetector = freezes;
        this.slackShare = SlackShare.of(budget.windowMillis());
    }

    /**
     * Returns the allowances of a daemon that has just started.
     *
     * @param budget the budget of all daemons together, for each service
     * @param steadyMillis the monotonic time in milliseconds
     * @param dayMillis the time of day in milliseconds
     * @return the allowances
     */
    public static RetryAllowances of(FleetRetryBudget budget, long steadyMillis, long dayMillis) {
        Objects.requireNonNull(budget, "budget is null");
        return new RetryAllowances(budget, FreezeDetector.of(steadyMillis, dayMillis));
    }

    /**
     * Returns the allowance of a service.
     *
     * @param service the service
     * @param steadyMillis the monotonic time in milliseconds
     * @param dayMillis the time of day in milliseconds
     * @return the allowance
     */
    public RetryAllowance allowance(ServiceId service, long steadyMillis, long dayMillis) {
        checkForFreeze(steadyMillis, dayMillis);
        return allowances.computeIfAbsent(service, name -> newAllowance());
    }

    private RetryAllowance newAllowance() {
        RetryAllowance started = RetryAllowance.of(budget, now -> slackShare.share(now));
        started.restartAfterFreeze(lastFreezeMillis);
        return started;
    }

    /**
     * Records the number of daemons on a list of daemons that contains this one.
     *
     * @param daemons the number of daemons on the list
     * @param atMillis when the list was valid, by the monotonic clock, in milliseconds
     * @param steadyMillis the monotonic time in milliseconds
     * @param dayMillis the time of day in milliseconds
     */
    public void recordDaemonCount(int daemons, long atMillis, long steadyMillis, long dayMillis) {
        checkForFreeze(steadyMillis, dayMillis);
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

    // After a freeze, old requests would otherwise earn credit as if they were recent, and this
    // daemon would use a share of the slack that other daemons have taken over.
    private void checkForFreeze(long steadyMillis, long dayMillis) {
        if (freezeDetector.detectFreeze(steadyMillis, dayMillis)) {
            lastFreezeMillis = steadyMillis;
            allowances.values().forEach(allowance -> allowance.restartAfterFreeze(steadyMillis));
            slackShare.restartAfterFreeze();
        }
    }
}
