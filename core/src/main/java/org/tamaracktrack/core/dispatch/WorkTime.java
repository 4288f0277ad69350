package org.tamaracktrack.core.dispatch;

import java.util.Optional;

/**
 * How long work takes on the machine of a target, relative to the usual time.
 *
 * @param percent the time in percent of the usual time; above 0
 */
public record WorkTime(double percent) {
    /** Reports above this value are considered invalid. */
    public static final double MAX_PERCENT = 10_000;

    /** Bounds of the factor that decisions use, so that one false report has a limited effect. */
    private static final double MIN_FACTOR = 0.2;

    private static final double MAX_FACTOR = 5;

    private static final double USUAL_PERCENT = 100;

    /** Checks the argument. */
    public WorkTime {
        if (!isValid(percent)) {
            throw new IllegalArgumentException("percent is out of range: " + percent);
        }
    }

    /**
     * Returns the work time that a target reports.
     *
     * @param percent the time in percent of the usual time
     * @return the work time; empty when the value is not above 0 or larger than any real one
     */
    public static Optional<WorkTime> ofPercent(double percent) {
        return isValid(percent) ? Optional.of(new WorkTime(percent)) : Optional.empty();
    }

    private static boolean isValid(double percent) {
        return percent > 0 && percent <= MAX_PERCENT;
    }

    /**
     * Returns the factor by which work takes longer than usual.
     *
     * @return the factor, from 0.2 to 5
     */
    public double factor() {
        return Math.max(MIN_FACTOR, Math.min(MAX_FACTOR, percent / USUAL_PERCENT));
    }
}
