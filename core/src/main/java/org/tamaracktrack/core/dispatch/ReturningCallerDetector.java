package org.tamaracktrack.core.dispatch;

/**
 * Detects requests of one route whose caller was probably refused before and came back. Requests
 * state how long their caller still waits, and a returning caller has less time left than others.
 * Confined to the traffic thread.
 *
 * <p>Waits are compared with an estimate learned from the requests of the route rather than with
 * the route's timeout, because callers of one route may wait for different times. Compared with the
 * timeout, new requests of callers that wait for less would be classified as returning, their
 * demand would not be counted, and models would get too few copies.
 */
public final class ReturningCallerDetector {
    /** Upper bound of the share of requests that are assumed to come from returning callers. */
    private static final double RETURNING_SHARE = 0.2;

    /**
     * Relative change of the estimate per request, so that about the last 100 requests determine
     * it.
     */
    private static final double ADJUSTMENT_RATE = 0.02;

    /**
     * Waits below this share of the estimate are returning callers, since some time passed before
     * they came back.
     */
    private static final double RETURNING_WAIT_RATIO = 0.97;

    private static final double NO_ESTIMATE = -1;

    private double usualWaitMillis = NO_ESTIMATE;

    private ReturningCallerDetector() {}

    /**
     * Returns a detector without observations.
     *
     * @return the detector
     */
    public static ReturningCallerDetector empty() {
        return new ReturningCallerDetector();
    }

    /**
     * Records a request and classifies its caller.
     *
     * @param waitMillis how long the caller states that it waits, in milliseconds
     * @return true when the caller was probably refused before
     */
    public boolean observe(long waitMillis) {
        boolean returned =
                usualWaitMillis != NO_ESTIMATE
                        && waitMillis < RETURNING_WAIT_RATIO * usualWaitMillis;
        updateEstimate(waitMillis);
        return returned;
    }

    // Tracks the quantile below which RETURNING_SHARE of the waits lie.
    private void updateEstimate(long waitMillis) {
        if (usualWaitMillis == NO_ESTIMATE) {
            usualWaitMillis = waitMillis;
        } else if (waitMillis < usualWaitMillis) {
            usualWaitMillis -= ADJUSTMENT_RATE * (1 - RETURNING_SHARE) * usualWaitMillis;
        } else {
            usualWaitMillis =
                    Math.min(waitMillis, usualWaitMillis * (1 + ADJUSTMENT_RATE * RETURNING_SHARE));
        }
    }
}
