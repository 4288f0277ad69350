package org.tamaracktrack.core.quarantine;

import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.tamaracktrack.core.fleet.TargetIncarnation;

/**
 * Counts the targets that ended during each request, and during requests with each part of a
 * prompt, and determines which of these suspects are held. Confined to the control thread. Times
 * are in time of day, since they remain valid after a restart of the process.
 *
 * <p>When a target ends, every request in progress there becomes a suspect, and so do the parts of
 * its prompt that no target has answered recently. Only what causes targets to end is there
 * repeatedly; the others are answered by another target, which clears them.
 */
public final class QuarantineRegister {
    /** Time after the last end of a target for which one that is not held stays a suspect. */
    private static final long SUSPECT_RETENTION_MILLIS = 10 * 60_000;

    /** Time after the last end of a target for which a suspect stays held. */
    private static final long HOLD_MILLIS = 24 * 60 * 60_000;

    /** Upper bound of recorded suspects, beyond which the oldest suspects are removed first. */
    private static final int MAX_SUSPECTS = 10_000;

    /** A request that is tried contains fewer held parts than this. */
    private static final int MAX_EXPLANATIONS = 8;

    private final Map<Suspect, Map<TargetIncarnation, ObservedEnd>> endsBySuspect =
            new LinkedHashMap<>();
    private Quarantine quarantine = Quarantine.empty();
    private Set<Suspect> explainedTogether = Set.of();
    private boolean changed;

    private QuarantineRegister() {}

    /**
     * Returns a register without ends.
     *
     * @return the register
     */
    public static QuarantineRegister empty() {
        return new QuarantineRegister();
    }

    /**
     * Records that a target ended while a suspect was there. An end that is reported again, by
     * another daemon or from the store, counts once.
     *
     * @param end the suspect and the target
     * @param atMillis when the target ended, in milliseconds of the time of day
     * @return true when the end, or that the target ran the suspect, was not recorded before
     */
    public boolean add(TargetEnd end, long atMillis) {
        Map<TargetIncarnation, ObservedEnd> targets =
                endsBySuspect.computeIfAbsent(end.suspect(), suspect -> new LinkedHashMap<>());
        ObservedEnd known = targets.get(end.target());
        if (known != null && (known.ran() || !end.ran())) {
            return false;
        }
        targets.put(end.target(), new ObservedEnd(end.ran(), atMillis));
        changed = true;
        return true;
    }

    /**
     * Removes an end, which no longer counts.
     *
     * @param suspect the request or part
     * @param target the target
     */
    public void remove(Suspect suspect, TargetIncarnation target) {
        Map<TargetIncarnation, ObservedEnd> targets = endsBySuspect.get(suspect);
        if (targets == null || targets.remove(target) == null) {
            return;
        }
        if (targets.isEmpty()) {
            endsBySuspect.remove(suspect);
        }
        changed = true;
    }

    /**
     * Removes all ends of a suspect that a target has answered, which shows that it does not cause
     * targets to end.
     *
     * @param suspect the request or part
     * @return the removed ends
     */
    public List<TargetEnd> removeAll(Suspect suspect) {
        Map<TargetIncarnation, ObservedEnd> targets = endsBySuspect.remove(suspect);
        if (targets == null) {
            return List.of();
        }
        changed = true;
        return toTargetEnds(suspect, targets).collect(Collectors.toList());
    }

    /**
     * Removes expired suspects, and the oldest suspects when there are too many.
     *
     * @param nowMillis the time of day in milliseconds
     * @return the removed ends
     */
    public List<TargetEnd> expire(long nowMillis) {
        List<Suspect> expired =
                Stream.concat(
                                endsBySuspect.keySet().stream()
                                        .filter(
                                                suspect ->
                                                        lastEndMillis(suspect)
                                                                < expiryThresholdMillis(
                                                                        suspect, nowMillis)),
                                endsBySuspect.keySet().stream()
                                        .sorted(
                                                Comparator.comparing(this::isHeld)
                                                        .thenComparing(this::lastEndMillis))
                                        .limit(Math.max(0, endsBySuspect.size() - MAX_SUSPECTS)))
                        .distinct()
                        .collect(Collectors.toList());
        return expired.stream()
                .flatMap(suspect -> removeAll(suspect).stream())
                .collect(Collectors.toList());
    }

    private long expiryThresholdMillis(Suspect suspect, long nowMillis) {
        return nowMillis - (isHeld(suspect) ? HOLD_MILLIS : SUSPECT_RETENTION_MILLIS);
    }

    private long lastEndMillis(Suspect suspect) {
        return endsBySuspect.get(suspect).values().stream()
                .mapToLong(ObservedEnd::atMillis)
                .max()
                .orElse(0);
    }

    private boolean isHeld(Suspect suspect) {
        return suspect.holdPolicy().holds(endsBySuspect.get(suspect).values());
    }

    private static Stream<TargetEnd> toTargetEnds(
            Suspect suspect, Map<TargetIncarnation, ObservedEnd> targets) {
        return targets.entrySet().stream()
                .map(target -> new TargetEnd(suspect, target.getKey(), target.getValue().ran()));
    }

    /**
     * Returns whether an end is recorded.
     *
     * @param end the suspect and the target
     * @return true when it is recorded
     */
    public boolean contains(TargetEnd end) {
        return endsBySuspect.getOrDefault(end.suspect(), Map.of()).containsKey(end.target());
    }

    /**
     * Returns the current suspects and which of them are held.
     *
     * @param nowMillis the time of day in milliseconds
     * @return the quarantine; the same object as before when nothing changed
     */
    public Quarantine quarantine(long nowMillis) {
        if (changed) {
            changed = false;
            Set<Suspect> held =
                    endsBySuspect.keySet().stream()
                            .filter(this::isHeld)
                            .collect(Collectors.toSet());
            explainedTogether =
                    held.stream()
                            .filter(suspect -> isExplainedTogether(suspect, held))
                            .collect(Collectors.toSet());
            quarantine =
                    new Quarantine(
                            endsBySuspect.keySet(),
                            held.stream()
                                    .collect(
                                            Collectors.toMap(
                                                    suspect -> suspect,
                                                    suspect -> hold(suspect, held))));
        }
        quarantine = quarantine.withTrials(suspect -> trial(suspect, nowMillis));
        return quarantine;
    }

    private Hold.Trial trial(Suspect suspect, long nowMillis) {
        OptionalLong dueMillis =
                suspect.holdPolicy().trialDueMillis(endsBySuspect.get(suspect).values());
        if (dueMillis.isPresent() && nowMillis >= dueMillis.getAsLong()) {
            return Hold.Trial.ANY;
        }
        return explainedTogether.contains(suspect) ? Hold.Trial.ALONE : Hold.Trial.NONE;
    }

    private Hold hold(Suspect suspect, Set<Suspect> held) {
        Map<TargetIncarnation, ObservedEnd> ends = endsBySuspect.get(suspect);
        int runningEnds = (int) ends.values().stream().filter(ObservedEnd::ran).count();
        Set<Suspect> explainedBy =
                suspect instanceof PartFingerprint
                        ? held.stream()
                                .filter(other -> explains(other, suspect))
                                .limit(MAX_EXPLANATIONS)
                                .collect(Collectors.toSet())
                        : Set.of();
        return new Hold(
                ends.size(), runningEnds, lastEndMillis(suspect), explainedBy, Hold.Trial.NONE);
    }

    /** Returns whether a suspect would not be held without the targets at which another was. */
    private boolean explains(Suspect other, Suspect suspect) {
        if (other.equals(suspect) || !(other instanceof PartFingerprint)) {
            return false;
        }
        Map<TargetIncarnation, ObservedEnd> ends = endsBySuspect.get(suspect);
        Map<TargetIncarnation, ObservedEnd> otherEnds = endsBySuspect.get(other);
        Map<TargetIncarnation, ObservedEnd> unexplained = new LinkedHashMap<>(ends);
        unexplained.keySet().removeAll(otherEnds.keySet());
        return otherEnds.size() >= ends.size() && !suspect.holdPolicy().holds(unexplained.values());
    }

    /** Returns whether some other held part was at each target that was running a suspect. */
    private boolean isExplainedTogether(Suspect suspect, Set<Suspect> held) {
        Set<TargetIncarnation> explained =
                held.stream()
                        .filter(other -> other instanceof PartFingerprint)
                        .filter(other -> !other.equals(suspect))
                        .flatMap(other -> endsBySuspect.get(other).keySet().stream())
                        .collect(Collectors.toSet());
        return suspect instanceof PartFingerprint
                && endsBySuspect.get(suspect).entrySet().stream()
                        .filter(end -> end.getValue().ran())
                        .map(Map.Entry::getKey)
                        .allMatch(explained::contains);
    }
}
