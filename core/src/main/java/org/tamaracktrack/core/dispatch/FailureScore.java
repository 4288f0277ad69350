package org.tamaracktrack.core.dispatch;

/**
 * An exponentially weighted share of failures among the recent answers of a target, from 0 to 1.
 *
 * <p>A target may fail requests while its health check passes, which shows only in its answers.
 * Without this score, the target that fails fastest has the lowest load and attracts the most
 * requests.
 */
public final class FailureScore {
    /**
     * Weight of the newest answer, with which three failures in a row give a score above one half.
     */
    private static final double NEWEST_ANSWER_WEIGHT = 0.25;

    /** Half-life of the score, which decays so that a recovered target receives requests again. */
    private static final double HALF_LIFE_MILLIS = 3_000;

    private double scoreAtUpdate;
    private long updatedAtMillis;

    /**
     * Records an answer.
     *
     * @param failed whether the answer was a failure
     * @param nowMillis the monotonic time in milliseconds
     */
    public void recordAnswer(boolean failed, long nowMillis) {
        scoreAtUpdate =
                at(nowMillis) * (1 - NEWEST_ANSWER_WEIGHT) + (failed ? NEWEST_ANSWER_WEIGHT : 0);
        updatedAtMillis = nowMillis;
    }

    /**
     * Returns the score, decayed to the given time.
     *
     * @param nowMillis the monotonic time in milliseconds
     * @return 0 without recent failures, approaching 1 when all recent answers failed
     */
    public double at(long nowMillis) {
        return scoreAtUpdate
                * Math.pow(0.5, Math.max(0, nowMillis - updatedAtMillis) / HALF_LIFE_MILLIS);
    }
}
