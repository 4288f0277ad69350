package org.tamaracktrack.core.retry;

/**
 * How many attempts may be added to the requests that callers send: a tenth of those of late, and a
 * few a second so that a quiet daemon can retry too. For several threads.
 */
public final class RetryBudget {
    private static final double FRACTION = 0.1;
    private static final double PER_SECOND = 2;
    private static final double MOST = 100;
    private static final double MILLIS_PER_SECOND = 1_000;

    private double tokens = MOST / 10;
    private long filledAtMillis;

    private RetryBudget(long nowMillis) {
        this.filledAtMillis = nowMillis;
    }

    /**
     * Returns a budget.
     *
     * @param nowMillis the time
     * @return the budget
     */
    public static RetryBudget of(long nowMillis) {
        return new RetryBudget(nowMillis);
    }

    /** A caller sent a request: a tenth of a retry is earned. */
    public synchronized void earn() {
        tokens = Math.min(MOST, tokens + FRACTION);
    }

    /**
     * Takes one retry from the budget.
     *
     * @param nowMillis the time
     * @return false when the budget is spent
     */
    public synchronized boolean take(long nowMillis) {
        // When every target refuses, each request would become several, and the load that caused
        // the refusals would grow with them and outlast its cause. With the budget the attempts
        // stay within a tenth over the requests.
        double earned = Math.max(0, nowMillis - filledAtMillis) * PER_SECOND / MILLIS_PER_SECOND;
        tokens = Math.min(MOST, tokens + earned);
        filledAtMillis = Math.max(filledAtMillis, nowMillis);
        if (tokens < 1) {
            return false;
        }
        tokens -= 1;
        return true;
    }
}
