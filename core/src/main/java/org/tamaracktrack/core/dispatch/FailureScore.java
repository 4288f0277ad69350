package org.tamaracktrack.core.dispatch;

/**
 * The share of a target's answers of late that were failures, from 0 to 1.
 *
 * <p>A target may fail requests while its health check is good. Only its answers show it; without
 * this, the target that fails fastest looks the least loaded and draws the most requests.
 */
public final class FailureScore {
    /** Weight of the newest answer: three failures in a row count as more than half. */
    private static final double NEWEST = 0.25;

    /** Half of the score is forgotten in this time, so that a target that recovered is tried. */
    private static final double HALF_LIFE_MILLIS = 3_000;

    private double score;
    private long atMillis;

    /**
     * Takes an answer in.
     *
     * @param failed whether it was a failure
     * @param nowMillis the monotonic time
     */
    public void note(boolean failed, long nowMillis) {
        score = at(nowMillis) * (1 - NEWEST) + (failed ? NEWEST : 0);
        atMillis = nowMillis;
    }

    /**
     * Returns the score.
     *
     * @param nowMillis the monotonic time
     * @return 0 for no failures, towards 1 for failures only
     */
    public double at(long nowMillis) {
        return score * Math.pow(0.5, Math.max(0, nowMillis - atMillis) / HALF_LIFE_MILLIS);
    }
}
