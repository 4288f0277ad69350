package org.tamaracktrack.core.dispatch;

/**
 * Estimates by which factor work at a target currently takes longer than usual, from its reports.
 *
 * <p>The work time of a shared machine changes many times a second. So a report is used as it is
 * only while it is recent; an older one says little more than the long-run mean.
 */
final class WorkFactorEstimator {
    private static final double USUAL_FACTOR = 1;

    /** Age up to which a report has its full weight. */
    private static final double FULL_WEIGHT_MILLIS = 100;

    /** Half-life of the weight of an older report, less than the time for which a value lasts. */
    private static final double REPORT_HALF_LIFE_MILLIS = 400;

    /** Time constant of the long-run mean, many changes of the work time. */
    private static final double MEAN_TIME_CONSTANT_MILLIS = 5_000;

    /**
     * Maximum weight of one report in the mean, so that a report after a long pause does not
     * replace the mean by a momentary value.
     */
    private static final double MAX_REPORT_WEIGHT = 0.3;

    /** Time without reports after which the mean begins to return to the usual factor. */
    private static final double MEAN_VALIDITY_MILLIS = 10_000;

    /** Half-life of the difference of an old mean from the usual factor. */
    private static final double MEAN_HALF_LIFE_MILLIS = 10_000;

    private boolean known;
    private double mean = USUAL_FACTOR;
    private double last = USUAL_FACTOR;
    private long reportedAtMillis;

    private WorkFactorEstimator() {}

    static WorkFactorEstimator create() {
        return new WorkFactorEstimator();
    }

    /** Records a report; one that is older than the last is ignored. */
    void record(WorkTime workTime, long atMillis) {
        double factor = workTime.factor();
        if (!known) {
            known = true;
            mean = factor;
        } else if (atMillis < reportedAtMillis) {
            return;
        } else {
            double elapsedMillis = atMillis - reportedAtMillis;
            double weight =
                    Math.min(
                            MAX_REPORT_WEIGHT,
                            1 - Math.exp(-elapsedMillis / MEAN_TIME_CONSTANT_MILLIS));
            mean += weight * (factor - mean);
        }
        last = factor;
        reportedAtMillis = atMillis;
    }

    boolean isKnown() {
        return known;
    }

    double factor(long nowMillis) {
        if (!known) {
            return USUAL_FACTOR;
        }
        double oldMillis = Math.max(0, nowMillis - reportedAtMillis - FULL_WEIGHT_MILLIS);
        double weight = Math.pow(0.5, oldMillis / REPORT_HALF_LIFE_MILLIS);
        double currentMean = mean(nowMillis);
        return currentMean + weight * (last - currentMean);
    }

    double mean(long nowMillis) {
        double expiredMillis = Math.max(0, nowMillis - reportedAtMillis - MEAN_VALIDITY_MILLIS);
        return known && expiredMillis > 0
                ? USUAL_FACTOR
                        + (mean - USUAL_FACTOR)
                                * Math.pow(0.5, expiredMillis / MEAN_HALF_LIFE_MILLIS)
                : mean;
    }
}
