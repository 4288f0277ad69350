package org.tamaracktrack.core.dispatch;

import org.tamaracktrack.core.error.ErrorCode;
import org.tamaracktrack.core.error.TamaracktrackException;

/**
 * The repeats that all daemons together may send to a service in any window.
 *
 * @param ratio repeats for each request of callers
 * @param windowMillis the window over which both are counted
 * @param slack repeats besides
 */
public record FleetRetryBudget(double ratio, long windowMillis, double slack) {

    /**
     * Checks the figures.
     *
     * @throws TamaracktrackException with {@code INVALID_SETTINGS} when one of them is negative, or
     *     there is no window
     */
    public FleetRetryBudget {
        if (!(ratio >= 0) || windowMillis <= 0 || !(slack >= 0)) {
            throw TamaracktrackException.of(
                    ErrorCode.INVALID_SETTINGS,
                    "a retry budget of " + ratio + " and " + slack + " in " + windowMillis + " ms");
        }
    }
}
