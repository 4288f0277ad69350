package org.tamaracktrack.core.knowledge;

/**
 * One moment by both clocks. The steady clock stands still while the process is frozen, the time of
 * day does not; it may be set.
 *
 * @param steadyMillis the steady clock
 * @param dayMillis the time of day
 */
public record Moment(long steadyMillis, long dayMillis) {
    private static final long NEVER = Long.MIN_VALUE / 4;

    /** Clock corrections stay far below this, in milliseconds. */
    private static final long JUMP_MILLIS = 150;

    /**
     * Returns a moment before all others.
     *
     * @return the moment
     */
    public static Moment never() {
        return new Moment(NEVER, NEVER);
    }

    /**
     * Returns another moment, between which and this one the clocks did not move apart.
     *
     * @param steady the steady clock then
     * @return the moment
     */
    public Moment at(long steady) {
        return new Moment(steady, dayMillis + steady - steadyMillis);
    }

    /**
     * Returns how long ago an earlier moment was, by the clock that says more.
     *
     * @param earlier the earlier moment
     * @return milliseconds
     */
    public long since(Moment earlier) {
        return Math.max(steadyMillis - earlier.steadyMillis, dayMillis - earlier.dayMillis);
    }

    /**
     * Returns whether the process may have been frozen since an earlier moment.
     *
     * @param earlier the earlier moment
     * @return true when the clocks have moved apart
     */
    public boolean apart(Moment earlier) {
        long steadyPassed = steadyMillis - earlier.steadyMillis;
        long dayPassed = dayMillis - earlier.dayMillis;
        return Math.abs(dayPassed - steadyPassed) > JUMP_MILLIS;
    }
}
