package org.tamaracktrack.core.quarantine;

import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeMap;
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

    /**
     * Targets that may end under trials of a part, with no other held part there, before the others
     * no longer explain its ends.
     */
    private static final int MAX_UNEXPLAINED_ENDS = 1;

    private final Map<Suspect, Map<TargetIncarnation, ObservedEnd>> endsBySuspect =
            new LinkedHashMap<>();
    private final Map<Suspect, NavigableMap<Integer, SuspectTrial>> trialsBySuspect =
            new HashMap<>();
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
     * Returns the next permits for a request with some held suspects, one for each.
     *
     * @param inRequest all held suspects of the request
     * @param nowMillis the time of day in milliseconds
     * @return the permits, which do not count until they are added; none when the request may not
     *     be sent
     */
    public List<SuspectTrial> nextTrials(Set<Suspect> inRequest, long nowMillis) {
        return quarantine(nowMillis).mayTry(inRequest, nowMillis)
                ? inRequest.stream()
                        .map(suspect -> nextTrial(suspect, nowMillis))
                        .collect(Collectors.toList())
                : List.of();
    }

    private SuspectTrial nextTrial(Suspect suspect, long nowMillis) {
        NavigableMap<Integer, SuspectTrial> trials = trialsOf(suspect);
        return new SuspectTrial(suspect, trials.isEmpty() ? 1 : trials.lastKey() + 1, nowMillis);
    }

    private NavigableMap<Integer, SuspectTrial> trialsOf(Suspect suspect) {
        return trialsBySuspect.getOrDefault(suspect, Collections.emptyNavigableMap());
    }

    /**
     * Records a permit. One that is recorded again, by another daemon or from the store, counts
     * once.
     *
     * @param trial the permit
     */
    public void addTrial(SuspectTrial trial) {
        trialsBySuspect
                .computeIfAbsent(trial.suspect(), suspect -> new TreeMap<>())
                .put(trial.number(), trial);
        changed = true;
    }

    /**
     * Removes a permit, with which no request was sent or whose suspect was cleared.
     *
     * @param suspect the suspect
     * @param number the number of the permit
     */
    public void removeTrial(Suspect suspect, int number) {
        NavigableMap<Integer, SuspectTrial> trials = trialsBySuspect.get(suspect);
        if (trials != null && trials.remove(number) != null) {
            changed = true;
            if (trials.isEmpty()) {
                trialsBySuspect.remove(suspect);
            }
        }
    }

    /**
     * Removes all permits of a suspect that was cleared.
     *
     * @param suspect the suspect
     * @return the removed permits
     */
    public List<SuspectTrial> removeTrials(Suspect suspect) {
        List<SuspectTrial> removed = List.copyOf(trialsOf(suspect).values());
        removed.forEach(trial -> removeTrial(trial.suspect(), trial.number()));
        return removed;
    }

    /**
     * Removes the permits that are older than the longest hold.
     *
     * @param nowMillis the time of day in milliseconds
     * @return the removed permits
     */
    public List<SuspectTrial> expireTrials(long nowMillis) {
        List<SuspectTrial> expired =
                trialsBySuspect.values().stream()
                        .flatMap(trials -> trials.values().stream())
                        .filter(trial -> trial.atMillis() < nowMillis - HOLD_MILLIS)
                        .collect(Collectors.toList());
        expired.forEach(trial -> removeTrial(trial.suspect(), trial.number()));
        return expired;
    }

    /**
     * Returns whether a permit is recorded.
     *
     * @param trial the permit
     * @return true when it is recorded
     */
    public boolean contains(SuspectTrial trial) {
        return trial.equals(trialsOf(trial.suspect()).get(trial.number()));
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
                ends.size(),
                runningEnds,
                lastEndMillis(suspect),
                explainedBy,
                Hold.Trial.NONE,
                trialsOf(suspect).values().stream()
                        .map(SuspectTrial::atMillis)
                        .collect(Collectors.toList()));
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

    /**
     * Returns whether some other held part was at each of the targets for which a suspect is held.
     * Targets also end for other reasons, so one end under a trial need not be explained.
     */
    private boolean isExplainedTogether(Suspect suspect, Set<Suspect> held) {
        if (!(suspect instanceof PartFingerprint)) {
            return false;
        }
        Set<TargetIncarnation> unexplained = new HashSet<>(holdingTargets(suspect));
        held.stream()
                .filter(other -> other instanceof PartFingerprint)
                .filter(other -> !other.equals(suspect))
                .forEach(other -> unexplained.removeAll(endsBySuspect.get(other).keySet()));
        return unexplained.size() <= Math.min(trialsOf(suspect).size(), MAX_UNEXPLAINED_ENDS);
    }

    /**
     * Returns the targets that were running a suspect, or all if these do not suffice to hold it.
     */
    private Set<TargetIncarnation> holdingTargets(Suspect suspect) {
        Map<TargetIncarnation, ObservedEnd> ends = endsBySuspect.get(suspect);
        Map<TargetIncarnation, ObservedEnd> running = new LinkedHashMap<>(ends);
        running.values().removeIf(end -> !end.ran());
        return suspect.holdPolicy().holds(running.values()) ? running.keySet() : ends.keySet();
    }
}
