package org.tamaracktrack.core.knowledge;

/**
 * How far what a daemon knows of a part of the store reaches. Immutable.
 *
 * @param wholeAtMillis everything that was written before this time is known; by the steady clock
 * @param clockDifference time of day less steady clock when that was asked for
 * @param storeAway whether the store does not answer, by evidence that is not this daemon's own
 *     delay
 */
public record Knowledge(long wholeAtMillis, long clockDifference, boolean storeAway) {
    private static final long NEVER = Long.MIN_VALUE / 4;

    /**
     * Returns the knowledge of a daemon that has read nothing yet.
     *
     * @return the knowledge
     */
    public static Knowledge none() {
        return new Knowledge(NEVER, 0, false);
    }

    /**
     * Returns this knowledge after a read.
     *
     * @param atMillis everything that was written before this time is known
     * @param difference time of day less steady clock when that was asked for
     * @return the knowledge; unchanged if it reaches as far already
     */
    public Knowledge wholeAt(long atMillis, long difference) {
        return atMillis > wholeAtMillis ? new Knowledge(atMillis, difference, storeAway) : this;
    }

    /**
     * Returns this knowledge once the store answers no more, or again.
     *
     * @param away whether it does not answer
     * @return the knowledge
     */
    public Knowledge away(boolean away) {
        return new Knowledge(wholeAtMillis, clockDifference, away);
    }

    /**
     * Returns its age. The steady clock stands still while the process is frozen, the time of day
     * does not, so the later of both counts.
     *
     * @param steadyMillis the steady clock
     * @param dayMillis the time of day
     * @return milliseconds; huge when nothing is known
     */
    public long ageMillis(long steadyMillis, long dayMillis) {
        return Math.max(steadyMillis, dayMillis - clockDifference) - wholeAtMillis;
    }
}
