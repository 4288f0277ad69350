package org.tamaracktrack.core.quarantine;

import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;

/**
 * A snapshot of the suspects. Immutable.
 *
 * @param suspects requests and parts of prompts during which at least one target ended
 * @param held the suspects that are sent to no target, and why
 */
public record Quarantine(Set<Suspect> suspects, Map<Suspect, Hold> held) {
    private static final Quarantine EMPTY = new Quarantine(Set.of(), Map.of());

    /** Copies the collections. */
    public Quarantine {
        Objects.requireNonNull(suspects, "suspects is null");
        Objects.requireNonNull(held, "held is null");
        suspects = Set.copyOf(suspects);
        held = Map.copyOf(held);
    }

    /**
     * Returns a quarantine without suspects.
     *
     * @return the quarantine
     */
    public static Quarantine empty() {
        return EMPTY;
    }

    /**
     * Returns whether there are no suspects, so that requests need no fingerprint.
     *
     * @return true when there are no suspects
     */
    public boolean isEmpty() {
        return suspects.isEmpty();
    }

    /**
     * Returns whether a suspect is sent to no target.
     *
     * @param suspect the request or part
     * @return true when it is held
     */
    public boolean isHeld(Suspect suspect) {
        return held.containsKey(suspect);
    }

    /**
     * Returns this quarantine with other trials.
     *
     * @param trial returns which request with a held suspect may be sent
     * @return the quarantine; the same object when nothing changes
     */
    public Quarantine withTrials(Function<Suspect, Hold.Trial> trial) {
        Map<Suspect, Hold> changed =
                held.entrySet().stream()
                        .collect(
                                Collectors.toMap(
                                        Map.Entry::getKey,
                                        hold ->
                                                hold.getValue()
                                                        .withTrial(trial.apply(hold.getKey()))));
        return changed.equals(held) ? this : new Quarantine(suspects, changed);
    }

    /**
     * Returns whether a request with some held suspects may be sent to find out whether they are
     * harmless. Other daemons may find the same at the same time, so the request also needs a
     * permit, of which all daemons together get only a few.
     *
     * @param inRequest all held suspects of the request
     * @param nowMillis the time of day in milliseconds
     * @return true when there are such suspects and each of them may be tried
     */
    public boolean mayTry(Set<Suspect> inRequest, long nowMillis) {
        return !inRequest.isEmpty()
                && held.keySet().containsAll(inRequest)
                && inRequest.stream()
                        .allMatch(suspect -> held.get(suspect).mayTry(inRequest, nowMillis));
    }
}
