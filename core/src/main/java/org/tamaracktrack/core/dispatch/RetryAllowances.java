package org.tamaracktrack.core.dispatch;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import org.tamaracktrack.core.id.ServiceId;
import org.tamaracktrack.core.lease.FreezeDetector;

/** The retry allowances of one daemon, by service. Owned by the traffic thread. */
public final class RetryAllowances {
    private static final long NEVER = Long.MIN_VALUE / 2;

    private final Map<ServiceId, RetryAllowance> allowances = new HashMap<>();
    private final FreezeDetector freezes;
    private FleetRetryBudget budget;
    private SlackShare slack;
    private long frozeAtMillis = NEVER;

    private RetryAllowances(FleetRetryBudget budget, FreezeDetector freezes) {
        this.budget = budget;
        this.freezes = freezes;
        this.slack = SlackShare.of(budget.windowMillis());
    }

    /**
     * Returns the allowances of a daemon that has just started.
     *
     * @param budget the bound for all daemons together, of each service
     * @param steadyMillis the monotonic time
     * @param dayMillis the time of day
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
     * @param steadyMillis the monotonic time
     * @param dayMillis the time of day
     * @return its allowance
     */
    public RetryAllowance allowance(ServiceId service, long steadyMillis, long dayMillis) {
        noticeFreeze(steadyMillis, dayMillis);
        return allowances.computeIfAbsent(service, name -> start());
    }

    private RetryAllowance start() {
        RetryAllowance started = RetryAllowance.of(budget, now -> slack.part(now));
        started.restart(frozeAtMillis);
        return started;
    }

    /**
     * This daemon was on a list of daemons.
     *
     * @param daemons how many daemons were on it
     * @param atMillis when the list was true, by the monotonic clock
     * @param steadyMillis the monotonic time
     * @param dayMillis the time of day
     */
    public void listed(int daemons, long atMillis, long steadyMillis, long dayMillis) {
        noticeFreeze(steadyMillis, dayMillis);
        slack.listed(daemons, atMillis);
    }

    /**
     * Takes another bound in. What was sent before still counts.
     *
     * @param newer the bound
     */
    public void limit(FleetRetryBudget newer) {
        Objects.requireNonNull(newer, "newer is null");
        if (newer.windowMillis() != budget.windowMillis()) {
            slack = SlackShare.of(newer.windowMillis());
        }
        budget = newer;
        allowances.values().forEach(allowance -> allowance.limit(newer));
    }

    // After a freeze requests of long ago would pay for repeats as if they had just come, and a
    // part of the slack would be used that others have by now.
    private void noticeFreeze(long steadyMillis, long dayMillis) {
        if (freezes.detectFreeze(steadyMillis, dayMillis)) {
            frozeAtMillis = steadyMillis;
            allowances.values().forEach(allowance -> allowance.restart(steadyMillis));
            slack.restart();
        }
    }
}
