package org.tamaracktrack.core.fleet;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.tamaracktrack.core.id.TargetId;

/**
 * Takes registry records in and tells which targets there are. Owned by the control thread.
 *
 * <p>While the registry can't be read what it said last holds: a target is dropped only when the
 * registry removed it, or when a whole listing taken after an outage has lacked it for a while.
 */
public final class FleetRegister {
    /**
     * Entries that lapsed while the registry was away are written again within about two seconds of
     * its return; this leaves a target that long, and a quarter second for the way.
     */
    private static final long RETURN_MILLIS = 2_250;

    private final Map<TargetId, TargetEntry> entries = new HashMap<>();
    private final Map<TargetId, Long> missingSinceMillis = new HashMap<>();
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
        missingSinceMillis.remove(target);
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
     * @param nowMillis the monotonic time
     */
    public void back(long nowMillis) {
        away = false;
        backAtMillis = nowMillis;
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
        boolean lapsed = away || nowMillis - backAtMillis < RETURN_MILLIS;
        if (lapsed) {
            missingSinceMillis.putIfAbsent(target, nowMillis);
            return Removal.MISSING;
        }
        remove(target);
        return Removal.DROPPED;
    }

    private void remove(TargetId target) {
        missingSinceMillis.remove(target);
        entries.remove(target);
        fleet = Fleet.of(entries);
    }

    /**
     * A whole listing was read; entries of it were taken in before by {@link #accept}.
     *
     * @param listed the names in the listing
     * @param nowMillis the monotonic time
     */
    public void listed(Set<TargetId> listed, long nowMillis) {
        entries.keySet().stream()
                .filter(target -> !listed.contains(target))
                .forEach(target -> missingSinceMillis.putIfAbsent(target, nowMillis));
    }

    /**
     * Drops what has been missing from the listing for too long.
     *
     * @param nowMillis the monotonic time
     * @return the targets that were dropped
     */
    public Set<TargetId> expire(long nowMillis) {
        Set<TargetId> gone =
                missingSinceMillis.entrySet().stream()
                        .filter(missing -> nowMillis - missing.getValue() >= RETURN_MILLIS)
                        .map(Map.Entry::getKey)
                        .collect(Collectors.toSet());
        gone.forEach(this::remove);
        return gone;
    }

    /**
     * Returns how many targets are kept though the registry lacks them.
     *
     * @return their number
     */
    public int missing() {
        return missingSinceMillis.size();
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
