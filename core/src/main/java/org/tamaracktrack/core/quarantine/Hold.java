package org.tamaracktrack.core.quarantine;

import java.util.List;
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
 * @param trialMillis when requests with the suspect were permitted to all daemons together, in
 *     milliseconds of the time of day
 */
public record Hold(
        int ends,
        int runningEnds,
        long lastEndMillis,
        Set<Suspect> explainedBy,
        Trial trial,
        List<Long> trialMillis) {
    /** Upper bound of trials of one suspect within {@link #TRIAL_PERIOD_MILLIS}. */
    static final int MAX_TRIALS = 2;

    /** The time after which a trial no longer counts, in milliseconds. */
    static final long TRIAL_PERIOD_MILLIS = 10 * 60_000;

    /** A trial whose caller left, or that no target ran, shows nothing and is repeated. */
    private static final long TRIAL_INTERVAL_MILLIS = 60_000;

    /** As above, for parts whose ends other held parts explain. */
    private static final long EXPLAINED_TRIAL_INTERVAL_MILLIS = 2_000;

    /** Which request with a held suspect may be sent to find out whether it is harmless. */
    public enum Trial {
        /** None. */
        NONE,
        /** One without other held suspects: all of them together explain the ends of this one. */
        ALONE,
        /** Any one: nothing explains the ends, and the last is long ago. */
        ANY
    }

    /** Copies the collections. */
    public Hold {
        Objects.requireNonNull(trial, "trial is null");
        Objects.requireNonNull(explainedBy, "explainedBy is null");
        Objects.requireNonNull(trialMillis, "trialMillis is null");
        explainedBy = Set.copyOf(explainedBy);
        trialMillis = List.copyOf(trialMillis);
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
                : new Hold(ends, runningEnds, lastEndMillis, explainedBy, newTrial, trialMillis);
    }

    /** Returns whether a request may be sent although it has this suspect, among others. */
    boolean mayTry(Set<Suspect> inRequest, long nowMillis) {
        boolean explained = !inRequest.containsAll(explainedBy);
        long intervalMillis =
                explained || trial == Trial.ALONE
                        ? EXPLAINED_TRIAL_INTERVAL_MILLIS
                        : TRIAL_INTERVAL_MILLIS;
        return (explained || isTrialFor(inRequest))
                && countTrialsSince(nowMillis - TRIAL_PERIOD_MILLIS) < MAX_TRIALS
                && countTrialsSince(nowMillis - intervalMillis) == 0;
    }

    private long countTrialsSince(long thresholdMillis) {
        return trialMillis.stream().filter(atMillis -> atMillis > thresholdMillis).count();
    }

    private boolean isTrialFor(Set<Suspect> inRequest) {
        return switch (trial) {
            case NONE -> false;
            case ALONE -> inRequest.size() == 1;
            case ANY -> true;
        };
    }
}
