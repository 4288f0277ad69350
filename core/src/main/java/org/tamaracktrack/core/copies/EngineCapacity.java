package org.tamaracktrack.core.copies;

/**
 * Estimates how many requests per second an engine can answer in time, from the residence time of
 * requests at engines. By Little's law that is the number of running requests divided by the
 * requests per second. An engine cannot start requests faster than its slots become free. Owned by
 * the control thread.
 */
public final class EngineCapacity {
    /**
     * Requests per second at which prompt processing stalls the streams of an engine, regardless of
     * its slots.
     */
    private static final double MAX_RATE = 12;

    /** Share of an engine's slots that can be in use before requests often wait for a slot. */
    private static final double USABLE_SLOT_SHARE = 0.75;

    /** Residence time that is assumed before any measurement. */
    private static final double INITIAL_RESIDENCE_SECONDS = 2;

    private static final double MIN_RESIDENCE_SECONDS = 1;
    private static final double MAX_RESIDENCE_SECONDS = 4;

    /** Minimum requests per second over all engines to estimate the residence time from. */
    private static final double MIN_RATE = 5;

    /** Time constant of the exponential average: the weight of older values falls to 1 / e. */
    private static final double TIME_CONSTANT_MILLIS = 5_000;

    private double residenceSeconds = INITIAL_RESIDENCE_SECONDS;
    private long updatedAtMillis = Long.MIN_VALUE;

    private EngineCapacity() {}

    /**
     * Returns an estimator without measurements.
     *
     * @return the estimator
     */
    public static EngineCapacity unknown() {
        return new EngineCapacity();
    }

    /**
     * Updates the residence time with the current use of the engines.
     *
     * @param running requests that run at all engines together, those of each engine divided by the
     *     factor by which work takes longer there, so that the residence time is that at usual
     *     speed
     * @param perSecond requests per second that they receive together
     * @param nowMillis the monotonic time in milliseconds
     */
    public void update(double running, double perSecond, long nowMillis) {
        double elapsedMillis =
                updatedAtMillis == Long.MIN_VALUE ? 0 : Math.max(0, nowMillis - updatedAtMillis);
        updatedAtMillis = nowMillis;
        if (perSecond < MIN_RATE) {
            return;
        }
        double measuredSeconds =
                Math.max(
                        MIN_RESIDENCE_SECONDS,
                        Math.min(MAX_RESIDENCE_SECONDS, running / perSecond));
        residenceSeconds +=
                (1 - Math.exp(-elapsedMillis / TIME_CONSTANT_MILLIS))
                        * (measuredSeconds - residenceSeconds);
    }

    /**
     * Returns the requests per second at which an engine of usual speed answers 70 % in time.
     *
     * @param slots the number of requests that it runs at the same time
     * @return the rate in requests per second
     */
    public double saturationRate(int slots) {
        return Math.min(MAX_RATE, USABLE_SLOT_SHARE * Math.max(1, slots) / residenceSeconds);
    }
}
