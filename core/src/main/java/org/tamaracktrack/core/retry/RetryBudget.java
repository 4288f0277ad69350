package org.tamaracktrack.core.retry;

/**
 * Limits the retries of a process to a tenth of its recent requests, plus a few per second so that
 * a daemon with little traffic can retry as well. Thread-safe.
 */
public final class RetryBudget {
    private static final double RETRIES_PER_REQUEST = 0.1;
    private static final double RETRIES_PER_SECOND = 2;
    private static final double MAX_TOKENS = 100;
    private static final double MILLIS_PER_SECOND = 1_000;

    private double tokens = MAX_TOKENS / 10;
    private long filledAtMillis;

    private RetryBudget(long nowMillis) {
        this.filledAtMillis = nowMillis;
    }

    /**
     * Returns a budget.
     *
     * @param nowMillis the time in milliseconds
     * @return the budget
     */
    public static RetryBudget of(long nowMillis) {
        return new RetryBudget(nowMillis);
    }

    /** Records a request of a caller, which earns a tenth of a retry. */
    public synchronized void earn() {
        tokens = Math.min(MAX_TOKENS, tokens + RETRIES_PER_REQUEST);
    }

    /**
     * Acquires one retry from the budget.
     *
     * @param nowMillis the time in milliseconds
     * @return false when the budget is exhausted
     */
    public synchronized boolean tryAcquire(long nowMillis) {
        // Without the budget, refusals by all targets would turn each request into several, and the
        // load that caused the refusals would grow and persist. The budget limits the additional
        // attempts to a tenth of the requests.
        double earned =
                Math.max(0, nowMillis - filledAtMillis) * RETRIES_PER_SECOND / MILLIS_PER_SECOND;
        tokens = Math.min(MAX_TOKENS, tokens + earned);
        filledAtMillis = Math.max(filledAtMillis, nowMillis);
        if (tokens < 1) {
            return false;
        }
        tokens -= 1;
        return true;
    }
}
