package org.tamaracktrack.core.dispatch;

import org.tamaracktrack.core.route.Route;

/**
 * Decides whether a request whose target is silent is sent to another target as well. The silent
 * target may go on at any moment, so the request stays there until the other one answers.
 */
public final class HedgePolicy {
    private HedgePolicy() {}

    /** Whether a request is sent to another target as well, or why not. */
    public enum Decision {
        /** The request is sent to another target as well. */
        SEND,
        /** The request may run only once. */
        NOT_REPEATABLE,
        /** The request was sent to as many targets as it may be. */
        ATTEMPTS_EXHAUSTED,
        /** The retry allowance is exhausted. */
        DENIED,
        /** No other target could answer in the remaining time. */
        NO_TARGET
    }

    /**
     * Decides whether a request is sent to another target as well. Nothing is taken from the
     * allowance yet.
     *
     * @param route the route of the request
     * @param history the attempts that have ended
     * @param pendingHedges the attempts under way beside the one at the silent target
     * @param allowance the retry allowance of the service at this daemon
     * @param hasTarget whether another target could answer in the remaining time
     * @param nowMillis the monotonic time in milliseconds
     * @return the decision
     */
    public static Decision decide(
            Route route,
            FailurePolicy.History history,
            int pendingHedges,
            RetryAllowance allowance,
            boolean hasTarget,
            long nowMillis) {
        if (!route.repeatable()) {
            return Decision.NOT_REPEATABLE;
        }
        if (history.possibleExecutions() + pendingHedges + 1 >= route.maximumAttempts()
                || history.refusals() >= FailurePolicy.MAX_REFUSALS
                || history.connectionFailures() >= FailurePolicy.MAX_CONNECTION_FAILURES) {
            return Decision.ATTEMPTS_EXHAUSTED;
        }
        if (!hasTarget) {
            return Decision.NO_TARGET;
        }
        return allowance.allowsRetry(nowMillis) ? Decision.SEND : Decision.DENIED;
    }
}
