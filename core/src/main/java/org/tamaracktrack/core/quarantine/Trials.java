package org.tamaracktrack.core.quarantine;

import java.util.Map;
import java.util.Objects;
import java.util.Set;
import org.tamaracktrack.core.dispatch.LruMap;

/**
 * Grants single requests with held parts, to find out whether the parts are harmless. Not safe for
 * use by several threads.
 */
public final class Trials {
    /**
     * A trial whose caller left, or that no target ran, shows nothing and is repeated after this
     * time.
     */
    private static final long REPETITION_MILLIS = 60_000;

    /** As above, for parts whose ends another held part explains. */
    private static final long EXPLAINED_REPETITION_MILLIS = 2_000;

    private static final int MAXIMUM_SUSPECTS = 1_024;

    private final Map<Suspect, Grant> grants = LruMap.of(MAXIMUM_SUSPECTS);

    private record Grant(long lastEndMillis, long atMillis) {}

    private Trials() {}

    /**
     * Returns an instance that has granted no request.
     *
     * @return the instance
     */
    public static Trials none() {
        return new Trials();
    }

    /**
     * Grants a request if each of its held suspects may be tried and was not tried since its last
     * end. A suspect may be tried when a part that is not in the request explains its ends, or when
     * the quarantine has a trial for it.
     *
     * @param quarantine the quarantine
     * @param suspects all held suspects of the request
     * @param nowMillis the monotonic time in milliseconds
     * @return true when the request may be sent
     */
    public boolean tryAcquire(Quarantine quarantine, Set<Suspect> suspects, long nowMillis) {
        Objects.requireNonNull(suspects, "suspects is null");
        if (!suspects.stream()
                .allMatch(suspect -> mayTry(quarantine, suspect, suspects, nowMillis))) {
            return false;
        }
        suspects.forEach(
                suspect ->
                        grants.put(
                                suspect,
                                new Grant(
                                        quarantine.held().get(suspect).lastEndMillis(),
                                        nowMillis)));
        return true;
    }

    private boolean mayTry(
            Quarantine quarantine, Suspect suspect, Set<Suspect> inRequest, long nowMillis) {
        Hold hold = quarantine.held().get(suspect);
        boolean explained = !inRequest.containsAll(hold.explainedBy());
        Grant last = grants.get(suspect);
        long repetitionMillis = explained ? EXPLAINED_REPETITION_MILLIS : REPETITION_MILLIS;
        return (explained || isTrialFor(hold, inRequest))
                && (last == null
                        || last.lastEndMillis() != hold.lastEndMillis()
                        || nowMillis - last.atMillis() >= repetitionMillis);
    }

    private static boolean isTrialFor(Hold hold, Set<Suspect> inRequest) {
        return switch (hold.trial()) {
            case NONE -> false;
            case ALONE -> inRequest.size() == 1;
            case ANY -> true;
        };
    }
}
