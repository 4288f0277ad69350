package org.tamaracktrack.core.knowledge;

import java.util.Objects;

/**
 * How old knowledge may be when it is acted on.
 *
 * <p>A promise such as "no request reaches a target three seconds after it said that it leaves"
 * runs from an event outside of the daemon. Steps inside can each be late; only the age at the
 * moment of acting tells whether the promise is still kept. That the store is away is knowledge
 * too, and has an age of its own.
 *
 * @param mostAgeMillis the oldest that is acted on while the store answers
 * @param refreshAgeMillis from this age on a fresh read is asked for
 * @param mostAwayAgeMillis how long after the store was seen to be away older knowledge is acted on
 */
public record KnowledgeBound(long mostAgeMillis, long refreshAgeMillis, long mostAwayAgeMillis) {
    /** What the way from here to a target may take, as a part of the promised time. */
    private static final double WAY_SHARE = 0.2;

    private static final long LEAST_WAY_MILLIS = 400;

    /**
     * What a read may take before its time is over. Asked for this much earlier, an outage is known
     * as one when the knowledge becomes too old.
     */
    private static final long READ_MILLIS = 800;

    /** Younger than this, knowledge is what usual reads bring. */
    private static final long USUAL_AGE_MILLIS = 1_050;

    /** What the relay brings may be this old before a daemon reads itself; see its own limits. */
    private static final long LEAST_AGE_MILLIS = 1_400;

    /**
     * Returns the bound that keeps a promise. A promise of less than 1.8 seconds is shorter than
     * what usual reads need, and is kept only as long as no read is late.
     *
     * @param promisedMillis the time after a change from which it has to be heeded
     * @param settlingMillis for how long after an outage of the store the promise is suspended
     * @return the bound
     */
    public static KnowledgeBound of(long promisedMillis, long settlingMillis) {
        long wayMillis = Math.max(LEAST_WAY_MILLIS, (long) (promisedMillis * WAY_SHARE));
        long mostAgeMillis = Math.max(LEAST_AGE_MILLIS, promisedMillis - wayMillis);
        long refreshAgeMillis = Math.max(USUAL_AGE_MILLIS, mostAgeMillis - READ_MILLIS);
        return new KnowledgeBound(mostAgeMillis, refreshAgeMillis, settlingMillis);
    }

    /**
     * Decides whether knowledge may be acted on.
     *
     * @param knowledge what is known
     * @param now the moment of acting
     * @return its standing
     */
    public Standing standing(Knowledge knowledge, Moment now) {
        Objects.requireNonNull(knowledge, "knowledge is null");
        if (knowledge.ageMillis(now) <= mostAgeMillis) {
            return Standing.FRESH;
        }
        return knowledge.awayAgeMillis(now) <= mostAwayAgeMillis ? Standing.KEPT : Standing.STALE;
    }

    /**
     * Decides whether to ask for a fresh read.
     *
     * @param knowledge what is known
     * @param now the moment of asking
     * @return true when the knowledge grows old, and that the store is away as well
     */
    public boolean refreshes(Knowledge knowledge, Moment now) {
        return knowledge.ageMillis(now) > refreshAgeMillis
                && knowledge.awayAgeMillis(now)
                        > Math.min(refreshAgeMillis, mostAwayAgeMillis - 2 * READ_MILLIS);
    }
}
