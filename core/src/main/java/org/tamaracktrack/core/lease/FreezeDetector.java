package org.tamaracktrack.core.lease;

/**
 * Notices that the process stood still, by comparing the steady clock with the time of day: the
 * steady clock does not count the time of a freeze, the time of day does.
 *
 * <p>Without it a holder that was frozen past its lease would go on where it stopped and give
 * orders beside its successor. A jump of the time of day looks the same; it costs one renewal.
 */
public final class FreezeDetector {
    /** Clock corrections stay far below this, freezes that matter to a lease far above. */
    private static final long JUMP_MILLIS = 150;

    private long difference;

    private FreezeDetector(long difference) {
        this.difference = difference;
    }

    /**
     * Returns a detector.
     *
     * @param steadyMillis the steady clock
     * @param dayMillis the time of day
     * @return the detector
     */
    public static FreezeDetector of(long steadyMillis, long dayMillis) {
        return new FreezeDetector(dayMillis - steadyMillis);
    }

    /**
     * Returns whether the clocks have moved apart since an earlier reading.
     *
     * @param earlier time of day less steady clock, as it was then
     * @param steadyMillis the steady clock
     * @param dayMillis the time of day
     * @return true when the process may have stood still since
     */
    public static boolean apart(long earlier, long steadyMillis, long dayMillis) {
        return Math.abs(dayMillis - steadyMillis - earlier) > JUMP_MILLIS;
    }

    /**
     * Compares the clocks with the last time.
     *
     * @param steadyMillis the steady clock
     * @param dayMillis the time of day
     * @return true when the process may have stood still since
     */
    public boolean froze(long steadyMillis, long dayMillis) {
        boolean jumped = apart(difference, steadyMillis, dayMillis);
        difference = dayMillis - steadyMillis;
        return jumped;
    }
}
