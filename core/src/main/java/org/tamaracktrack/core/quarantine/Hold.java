package org.tamaracktrack.core.quarantine;

import java.util.Objects;
import java.util.Set;

/**
 * Why a suspect is held, and whether a request may show that it is harmless.
 *
 * @param ends the number of targets that ended
 * @param runningEnds how many of them were running the suspect
 * @param lastEndMillis when the last of them ended, in milliseconds of the time of day
 * @param explainedBy other held parts that were at the same targets, at least as many; without the
 *     ends that such a part may have caused, this suspect would not be held
 * @param trial whether one request may be sent although no single part explains the ends
 */
public record Hold(
        int ends, int runningEnds, long lastEndMillis, Set<Suspect> explainedBy, Trial trial) {

    /** Which request with a held suspect may be sent to find out whether it is harmless. */
    public enum Trial {
        /** None. */
        NONE,
        /** One without other held suspects: all of them together explain the ends of this one. */
        ALONE,
        /** Any one: nothing explains the ends, and the last is long ago. */
        ANY
    }

    /** Copies the set. */
    public Hold {
        Objects.requireNonNull(trial, "trial is null");
        Objects.requireNonNull(explainedBy, "explainedBy is null");
        explainedBy = Set.copyOf(explainedBy);
    }

    /**
     * Returns this hold with another trial.
     *
     * @param newTrial which request may be sent
     * @return the hold
     */
    public Hold withTrial(Trial newTrial) {
        return newTrial == trial
                ? this
                : new Hold(ends, runningEnds, lastEndMillis, explainedBy, newTrial);
    }
}
