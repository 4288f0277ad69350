package org.tamaracktrack.core.fleet;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.tamaracktrack.core.dispatch.LruMap;
import org.tamaracktrack.core.id.TargetId;

/**
 * Takes registry records in and tells which targets there are. Owned by the control thread.
 *
 * <p>While the registry can't be read what it said last holds. Entries lapse in an outage, and
 * targets that live write theirs again when it ends; until then a removal only makes a target
 * missing.
 */
public final class FleetRegister {
    /**
     * Entries that lapsed while the registry was away are written again within about two seconds of
     * its return; this adds a quarter second for the way.
     */
    private static final long RETURN_MILLIS = 2_250;

    /** Runs of targets that left and are remembered. */
    private static final int MOST_DEPARTED = 1_000;

    private final Map<TargetId, TargetEntry> entries = new HashMap<>();
    private final Set<TargetId> missing = new HashSet<>();
    private final Set<TargetIncarnation> departed = LruMap.setOf(MOST_DEPARTED);
    private Fleet fleet = Fleet.empty();
    private boolean away;
    private long backAtMillis = Long.MIN_VALUE / 2;

    /** What became of a target that the registry removed. */
    public enum Removal {
        /** It was not known. */
        UNKNOWN,
        /** It gets no more requests. */
        DROPPED,
        /** It may have lapsed in an outage, and is kept for a while. */
        MISSING
    }

    private FleetRegister() {}

    /**
     * Returns a register without targets.
     *
     * @return the register
     */
    public static FleetRegister empty() {
        return new FleetRegister();
    }

    /**
     * A target described itself.
     *
     * @param entry what it said
     * @return true when this changed what is known
     */
    public boolean accept(TargetEntry entry) {
        Objects.requireNonNull(entry, "entry is null");
        TargetId target = entry.incarnation().target();
        if (departed.contains(entry.incarnation()) && !entry.leaving()) {
            return false;
        }
        missing.remove(target);
        TargetEntry known = entries.get(target);
        if (known != null && older(entry, known)) {
            return false;
        }
        if (entry.equals(entries.put(target, entry))) {
            return false;
        }
        fleet = Fleet.of(entries);
        return true;
    }

    // The entry of an earlier run can be delivered after that of the present one. Taken, requests
    // would go to an address or to copies of models that are gone.
    private static boolean older(TargetEntry entry, TargetEntry known) {
        long started = entry.incarnation().startedAtMillis();
        long knownStarted = known.incarnation().startedAtMillis();
        if (started != knownStarted) {
            return started < knownStarted;
        }
        return entry.revision() < known.revision() || known.leaving() && !entry.leaving();
    }

    /** The registry can't be read. */
    public void away() {
        away = true;
    }

    /**
     * The registry can be read again.
     *
     * @param returnedAtMillis a monotonic time at which it had returned
     */
    public void back(long returnedAtMillis) {
        away = false;
        backAtMillis = returnedAtMillis;
    }

    /**
     * The registry removed a target. Shortly after an outage it is only taken as missing, since
     * entries lapse while the registry is away and targets that live write them again.
     *
     * @param target the target
     * @param nowMillis the monotonic time
     * @return what became of it
     */
    public Removal removed(TargetId target, long nowMillis) {
        if (!entries.containsKey(target)) {
            return Removal.UNKNOWN;
        }
        if (lapses(nowMillis)) {
            missing.add(target);
            return Removal.MISSING;
        }
        drop(Set.of(target));
        return Removal.DROPPED;
    }

    // One end for all that is missing, counted from the return. Counted from each removal, a target
    // that left for good shortly after an outage got requests for the whole time once more, longer
    // than a target that leaves has to take them.
    private boolean lapses(long nowMillis) {
        return away || nowMillis - backAtMillis < RETURN_MILLIS;
    }

    // A registry that comes back from a copy has old entries again, also those of targets that
    // left. What said that it leaves stays so for as long as it runs.
    private void drop(Set<TargetId> targets) {
        targets.stream()
                .map(entries::get)
                .filter(entry -> entry != null && entry.leaving())
                .map(TargetEntry::incarnation)
                .forEach(departed::add);
        missing.removeAll(targets);
        entries.keySet().removeAll(targets);
        fleet = Fleet.of(entries);
    }

    /**
     * A whole listing was read; entries of it were taken in before by {@link #accept}. What it
     * lacks was removed.
     *
     * @param listed the names in the listing
     * @param nowMillis the monotonic time
     * @return what became of the targets that it lacks
     */
    public Map<TargetId, Removal> listed(Set<TargetId> listed, long nowMillis) {
        return Set.copyOf(entries.keySet()).stream()
                .filter(target -> !listed.contains(target))
                .collect(
                        Collectors.toMap(
                                Function.identity(), target -> removed(target, nowMillis)));
    }

    /**
     * Drops what is still missing once all that lapsed has to be back.
     *
     * @param nowMillis the monotonic time
     * @return the targets that were dropped
     */
    public Set<TargetId> expire(long nowMillis) {
        if (missing.isEmpty() || lapses(nowMillis)) {
            return Set.of();
        }
        Set<TargetId> gone = Set.copyOf(missing);
        drop(gone);
        return gone;
    }

    /**
     * Answers of targets closed their connections. One that is missing besides is dropped, since
     * targets that leave close theirs. A host that was cut off alone takes its cut for an outage,
     * though no entry lapsed; without this it would use a target that left meanwhile until the time
     * of missing targets is over.
     *
     * @param targets the targets
     * @return those that were dropped
     */
    public Set<TargetId> closing(Set<TargetId> targets) {
        Set<TargetId> gone = targets.stream().filter(missing::contains).collect(Collectors.toSet());
        if (!gone.isEmpty()) {
            drop(gone);
        }
        return gone;
    }

    /**
     * Returns how many targets are kept though the registry lacks them.
     *
     * @return their number
     */
    public int missing() {
        return missing.size();
    }

    /**
     * Returns how long the registry has been read without an outage.
     *
     * @param nowMillis the monotonic time
     * @return milliseconds since the last outage; since long ago when there was none
     */
    public long backForMillis(long nowMillis) {
        return nowMillis - backAtMillis;
    }

    /**
     * Returns what is known of a target.
     *
     * @param target the target
     * @return its entry
     */
    public Optional<TargetEntry> entry(TargetId target) {
        return Optional.ofNullable(entries.get(target));
    }

    /**
     * Returns the targets known now.
     *
     * @return the fleet
     */
    public Fleet fleet() {
        return fleet;
    }
}
