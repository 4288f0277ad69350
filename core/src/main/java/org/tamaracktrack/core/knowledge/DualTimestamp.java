package org.tamaracktrack.core.knowledge;

/**
 * A point in time read from both clocks. The steady (monotonic) clock stands still while the
 * process is frozen; the time of day does not, but can be adjusted.
 *
 * @param steadyMillis the steady clock in milliseconds
 * @param dayMillis the time of day in milliseconds
 */
public record DualTimestamp(long steadyMillis, long dayMillis) {
    private static final long NEVER = Long.MIN_VALUE / 4;

    /**
     * Largest difference between the clocks that is attributed to clock corrections, which stay far
     * below it.
     */
    private static final long MAX_CLOCK_DIFFERENCE_MILLIS = 150;

    /**
     * Returns a timestamp before all others.
     *
     * @return the timestamp
     */
    public static DualTimestamp never() {
        return new DualTimestamp(NEVER, NEVER);
    }

    /**
     * Returns the timestamp at another time of the steady clock, assuming that both clocks advanced
     * equally in between.
     *
     * @param otherSteadyMillis the other time of the steady clock in milliseconds
     * @return the timestamp
     */
    public DualTimestamp withSteadyMillis(long otherSteadyMillis) {
        return new DualTimestamp(otherSteadyMillis, dayMillis + otherSteadyMillis - steadyMillis);
    }

    /**
     * Returns the time since an earlier timestamp, by the clock that advanced more.
     *
     * @param earlier the earlier timestamp
     * @return the time in milliseconds
     */
    public long millisSince(DualTimestamp earlier) {
        return Math.max(steadyMillis - earlier.steadyMillis, dayMillis - earlier.dayMillis);
    }

    /**
     * Returns whether the process may have been frozen since an earlier timestamp.
     *
     * @param earlier the earlier timestamp
     * @return true when the clocks have diverged
     */
    public boolean clocksDivergedSince(DualTimestamp earlier) {
        long steadyElapsedMillis = steadyMillis - earlier.steadyMillis;
        long dayElapsedMillis = dayMillis - earlier.dayMillis;
        return Math.abs(dayElapsedMillis - steadyElapsedMillis) > MAX_CLOCK_DIFFERENCE_MILLIS;
    }
}
