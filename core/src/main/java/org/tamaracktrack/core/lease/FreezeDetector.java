package org.tamaracktrack.core.lease;

/**
 * Detects that the process was suspended, by comparing the monotonic clock with the wall clock:
 * while the process is frozen, the wall clock advances and the monotonic clock does not.
 *
 * <p>Without this check, a holder that was frozen beyond the end of its lease would continue where
 * it stopped and give orders at the same time as its successor. A jump of the wall clock has the
 * same appearance; it costs one renewal.
 */
public final class FreezeDetector {
    /**
     * Clock corrections are far smaller than this, and freezes that matter to a lease are far
     * longer.
     */
    private static final long MAXIMUM_DRIFT_MILLIS = 150;

    private long clockDifferenceMillis;

    private FreezeDetector(long clockDifferenceMillis) {
        this.clockDifferenceMillis = clockDifferenceMillis;
    }

    /**
     * Returns a detector that starts with the given clock readings.
     *
     * @param monotonicMillis the monotonic clock in milliseconds
     * @param wallClockMillis the wall clock in milliseconds
     * @return the detector
     */
    public static FreezeDetector of(long monotonicMillis, long wallClockMillis) {
        return new FreezeDetector(wallClockMillis - monotonicMillis);
    }

    /**
     * Returns whether the two clocks have diverged since an earlier reading.
     *
     * @param earlierDifferenceMillis the wall clock minus the monotonic clock at the earlier
     *     reading
     * @param monotonicMillis the monotonic clock in milliseconds
     * @param wallClockMillis the wall clock in milliseconds
     * @return true when the process may have been frozen since the earlier reading
     */
    public static boolean clocksDiverged(
            long earlierDifferenceMillis, long monotonicMillis, long wallClockMillis) {
        return Math.abs(wallClockMillis - monotonicMillis - earlierDifferenceMillis)
                > MAXIMUM_DRIFT_MILLIS;
    }

    /**
     * Compares the clocks with the previous reading, and stores this reading for the next call.
     *
     * @param monotonicMillis the monotonic clock in milliseconds
     * @param wallClockMillis the wall clock in milliseconds
     * @return true when the process may have been frozen since the earlier reading
     */
    public boolean detectFreeze(long monotonicMillis, long wallClockMillis) {
        boolean diverged = clocksDiverged(clockDifferenceMillis, monotonicMillis, wallClockMillis);
        clockDifferenceMillis = wallClockMillis - monotonicMillis;
        return diverged;
    }
}
