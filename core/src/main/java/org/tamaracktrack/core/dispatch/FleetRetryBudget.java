package org.tamaracktrack.core.dispatch;

import org.tamaracktrack.core.error.ErrorCode;
import org.tamaracktrack.core.error.TamaracktrackException;

/**
 * The number of retries that all daemons together may send to a service in any window.
 *
 * @param ratio allowed retries per request of a caller
 * @param windowMillis the window over which requests and retries are counted, in milliseconds
 * @param slack retries allowed in a window in addition to the ratio
 */
public record FleetRetryBudget(double ratio, long windowMillis, double slack) {

    /**
     * Checks the arguments.
     *
     * @throws TamaracktrackException with {@code INVALID_SETTINGS} when an argument is negative or
     *     the window is not positive
     */
    public FleetRetryBudget {
        if (!(ratio >= 0) || windowMillis <= 0 || !(slack >= 0)) {
            throw TamaracktrackException.of(
                    ErrorCode.INVALID_SETTINGS,
                    "invalid retry budget: ratio "
                            + ratio
                            + ", slack "
                            + slack
                            + ", window "
                            + windowMillis
                            + " ms");
        }
    }
}
