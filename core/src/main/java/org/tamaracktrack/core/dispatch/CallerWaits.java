package org.tamaracktrack.core.dispatch;

/**
 * How long the callers of one route say that they wait, to tell those that come back after a
 * refusal from newcomers: who comes back has less time than others. Owned by the traffic thread.
 *
 * <p>Callers of one route may each have their own patience. Compared with the route's timeout, four
 * of five newcomers were taken for returned where patience varies by 15 percent; they went ahead of
 * nobody and their demand was not counted, so that models got a fifth of the copies that they
 * needed.
 */
public final class CallerWaits {
    /** This part of the requests is taken to be callers that come back, at most. */
    private static final double RETURNED_PART = 0.2;

    /** How much one request moves the estimate; the last hundred or so decide. */
    private static final double STEP = 0.02;

    /** A caller that comes back has been away for some time at least. */
    private static final double RETURNED = 0.97;

    private static final double NONE = -1;

    private double usualMillis = NONE;

    private CallerWaits() {}

    /**
     * Returns an estimate that has seen nobody.
     *
     * @return the estimate
     */
    public static CallerWaits empty() {
        return new CallerWaits();
    }

    /**
     * Takes a request in.
     *
     * @param waitMillis how long its caller says that it waits, in milliseconds
     * @return whether the caller was probably refused before
     */
    public boolean returned(long waitMillis) {
        boolean returned = usualMillis != NONE && waitMillis < RETURNED * usualMillis;
        note(waitMillis);
        return returned;
    }

    // Follows the quantile below which RETURNED_PART of the waits lie.
    private void note(long waitMillis) {
        if (usualMillis == NONE) {
            usualMillis = waitMillis;
        } else if (waitMillis < usualMillis) {
            usualMillis -= STEP * (1 - RETURNED_PART) * usualMillis;
        } else {
            usualMillis = Math.min(waitMillis, usualMillis * (1 + STEP * RETURNED_PART));
        }
    }
}
