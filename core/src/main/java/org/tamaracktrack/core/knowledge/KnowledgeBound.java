package org.tamaracktrack.core.knowledge;

import java.util.Objects;

/**
 * How old knowledge may be when it is acted on.
 *
 * <p>A promise such as "no request reaches a target three seconds after it said that it leaves"
 * runs from an event outside of the daemon. Steps inside can each be late; only the age at the
 * moment of acting tells whether the promise is still kept.
 *
 * @param mostAgeMillis the oldest that is acted on while the store answers
 * @param refreshAgeMillis from this age on a fresh read is asked for
 */
public record KnowledgeBound(long mostAgeMillis, long refreshAgeMillis) {
    /** What the way from here to a target may take, as a part of the promised time. */
    private static final double WAY_SHARE = 0.2;

    private static final long LEAST_WAY_MILLIS = 400;

    /**
     * What a read may take before its time is over. Asked for this much earlier, an outage is known
     * as one when the knowledge becomes too old.
     */
    private static final long READ_MILLIS = 800;

    /** Younger than this, knowledge is what usual reads bring. */
    private static final long USUAL_AGE_MILLIS = 1_250;

    /**
     * Returns the bound that keeps a promise.
     *
     * @param promisedMillis the time after a change from which it has to be heeded
     * @return the bound
     */
    public static KnowledgeBound of(long promisedMillis) {
        long wayMillis = Math.max(LEAST_WAY_MILLIS, (long) (promisedMillis * WAY_SHARE));
        long mostAgeMillis = Math.max(0, promisedMillis - wayMillis);
        long refreshAgeMillis =
                Math.min(mostAgeMillis, Math.max(USUAL_AGE_MILLIS, mostAgeMillis - READ_MILLIS));
        return new KnowledgeBound(mostAgeMillis, refreshAgeMillis);
    }

    /**
     * Decides whether knowledge may be acted on.
     *
     * @param knowledge what is known
     * @param steadyMillis the steady clock
     * @param dayMillis the time of day
     * @return its standing
     */
    public Standing standing(Knowledge knowledge, long steadyMillis, long dayMillis) {
        Objects.requireNonNull(knowledge, "knowledge is null");
        if (knowledge.ageMillis(steadyMillis, dayMillis) <= mostAgeMillis) {
            return Standing.FRESH;
        }
        return knowledge.storeAway() ? Standing.KEPT : Standing.STALE;
    }

    /**
     * Decides whether to ask for a fresh read.
     *
     * @param knowledge what is known
     * @param steadyMillis the steady clock
     * @param dayMillis the time of day
     * @return true when the knowledge grows old
     */
    public boolean refreshes(Knowledge knowledge, long steadyMillis, long dayMillis) {
        return knowledge.ageMillis(steadyMillis, dayMillis) > refreshAgeMillis;
    }
}
