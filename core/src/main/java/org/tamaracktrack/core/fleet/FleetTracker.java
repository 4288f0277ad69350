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
 * Tracks the known targets from the records of the registry. Owned by the control thread.
 *
 * <p>While the registry cannot be read, the last known entries stay valid. Entries expire during an
 * outage, and running targets write them again afterwards. Until then, a removal only marks a
 * target as missing.
 */
public final class FleetTracker {
    /**
     * Grace period after an outage of the registry. Expired entries are written again within about
     * two seconds of its return; a quarter second is added for transmission.
     */
    private static final long REREGISTRATION_GRACE_MILLIS = 2_250;

    /** Number of departed target incarnations that are remembered. */
    private static final int MAX_DEPARTED_INCARNATIONS = 1_000;

    private final Map<TargetId, TargetEntry> entries = new HashMap<>();
    private final Set<TargetId> missingTargets = new HashSet<>();
    private final Set<TargetIncarnation> departedIncarnations =
            LruMap.setOf(MAX_DEPARTED_INCARNATIONS);
    private LeavingTargets leavingTargets = LeavingTargets.empty();
    private FleetSnapshot fleet = FleetSnapshot.empty();
    private boolean registryUnavailable;
    private long availableSinceMillis = Long.MIN_VALUE / 2;

    /** States the effect of a removal on a target. */
    public enum RemovalOutcome {
        /** The target was not known. */
        UNKNOWN,
        /** The target was dropped and receives no more requests. */
        DROPPED,
        /** The entry may have expired during an outage; the target is kept for the grace period. */
        MISSING
    }

    private FleetTracker() {}

    /**
     * Returns a tracker without targets.
     *
     * @return the tracker
     */
    public static FleetTracker empty() {
        return new FleetTracker();
    }

    /**
     * Applies a registry entry of a target. Outdated entries are ignored, also those of departed
     * incarnations. An incarnation that has stated that it leaves stays leaving, whatever the entry
     * says.
     *
     * @param registered the entry
     * @return true when the known targets changed
     */
    public boolean accept(TargetEntry registered) {
        Objects.requireNonNull(registered, "registered is null");
        TargetId target = registered.incarnation().target();
        if (departedIncarnations.contains(registered.incarnation()) && !registered.leaving()) {
            return false;
        }
        missingTargets.remove(target);
        TargetEntry entry = leavingTargets.mark(registered);
        TargetEntry known = entries.get(target);
        if (known != null && isOutdated(entry, known)) {
            return false;
        }
        if (entry.equals(entries.put(target, entry))) {
            return false;
        }
        fleet = FleetSnapshot.of(entries);
        return true;
    }

    // The entry of an earlier incarnation can be delivered after that of the current one. If it
    // were accepted, requests would go to an address or to models that no longer exist.
    private static boolean isOutdated(TargetEntry entry, TargetEntry known) {
        long started = entry.incarnation().startedAtMillis();
        long knownStarted = known.incarnation().startedAtMillis();
        if (started != knownStarted) {
            return started < knownStarted;
        }
        return entry.revision() < known.revision() || known.leaving() && !entry.leaving();
    }

    /**
     * Records that a target has stated in an answer that it leaves. The statement may come before
     * its entry in the registry does, or long before the registry says so.
     *
     * @param incarnation the incarnation that answered
     * @return true when the known targets changed
     */
    public boolean recordLeaving(TargetIncarnation incarnation) {
        leavingTargets = leavingTargets.with(incarnation);
        return entry(incarnation.target()).filter(this::acceptMarked).isPresent();
    }

    private boolean acceptMarked(TargetEntry known) {
        TargetEntry marked = leavingTargets.mark(known);
        if (marked.equals(known)) {
            return false;
        }
        entries.put(marked.incarnation().target(), marked);
        fleet = FleetSnapshot.of(entries);
        return true;
    }

    /** Records that the registry cannot be read. */
    public void registryUnavailable() {
        registryUnavailable = true;
    }

    /**
     * Records that the registry can be read again, which starts the grace period.
     *
     * @param availableAtMillis a monotonic time in milliseconds at which it was available again
     */
    public void registryAvailable(long availableAtMillis) {
        registryUnavailable = false;
        availableSinceMillis = availableAtMillis;
    }

    /**
     * Applies the removal of a target from the registry. During an outage and the grace period
     * after it the target is only marked as missing, since entries expire in an outage and running
     * targets write them again.
     *
     * @param target the target
     * @param nowMillis the monotonic time in milliseconds
     * @return the effect of the removal
     */
    public RemovalOutcome remove(TargetId target, long nowMillis) {
        if (!entries.containsKey(target)) {
            return RemovalOutcome.UNKNOWN;
        }
        if (inGracePeriod(nowMillis)) {
            missingTargets.add(target);
            return RemovalOutcome.MISSING;
        }
        drop(Set.of(target));
        return RemovalOutcome.DROPPED;
    }

    // The grace period ends at the same time for all missing targets, counted from the return of
    // the registry. When it was counted from each removal, a target that left for good shortly
    // after an outage received requests for another full period, longer than a leaving target has
    // to accept them.
    private boolean inGracePeriod(long nowMillis) {
        return registryUnavailable
                || nowMillis - availableSinceMillis < REREGISTRATION_GRACE_MILLIS;
    }

    // A registry that is restored from a backup contains old entries again, also those of departed
    // targets. An incarnation that has announced its departure stays leaving for as long as it
    // runs.
    private void drop(Set<TargetId> targets) {
        targets.stream()
                .map(entries::get)
                .filter(entry -> entry != null && entry.leaving())
                .map(TargetEntry::incarnation)
                .forEach(departedIncarnations::add);
        missingTargets.removeAll(targets);
        entries.keySet().removeAll(targets);
        fleet = FleetSnapshot.of(entries);
    }

    /**
     * Applies a complete listing of the registry, after its entries were applied by {@link
     * #accept}. Known targets that it lacks are treated as removed.
     *
     * @param listed the names in the listing
     * @param nowMillis the monotonic time in milliseconds
     * @return the effect on each target that the listing lacks
     */
    public Map<TargetId, RemovalOutcome> applyListing(Set<TargetId> listed, long nowMillis) {
        return Set.copyOf(entries.keySet()).stream()
                .filter(target -> !listed.contains(target))
                .collect(
                        Collectors.toMap(Function.identity(), target -> remove(target, nowMillis)));
    }

    /**
     * Drops the targets that are still missing after the grace period.
     *
     * @param nowMillis the monotonic time in milliseconds
     * @return the targets that were dropped
     */
    public Set<TargetId> dropExpired(long nowMillis) {
        if (missingTargets.isEmpty() || inGracePeriod(nowMillis)) {
            return Set.of();
        }
        Set<TargetId> expired = Set.copyOf(missingTargets);
        drop(expired);
        return expired;
    }

    /**
     * Drops the missing ones among targets whose answers closed a connection, since leaving targets
     * close their connections. A host that was partitioned on its own treats the partition as an
     * outage of the registry, although no entry expired. Without this, it would use a target that
     * left in the meantime until the end of the grace period.
     *
     * @param targets the targets that closed a connection
     * @return the targets that were dropped
     */
    public Set<TargetId> dropMissing(Set<TargetId> targets) {
        Set<TargetId> dropped =
                targets.stream().filter(missingTargets::contains).collect(Collectors.toSet());
        if (!dropped.isEmpty()) {
            drop(dropped);
        }
        return dropped;
    }

    /**
     * Returns the number of targets that are kept although the registry lacks them.
     *
     * @return the number
     */
    public int missingCount() {
        return missingTargets.size();
    }

    /**
     * Returns for how long the registry has been available.
     *
     * @param nowMillis the monotonic time in milliseconds
     * @return milliseconds since the end of the last outage; a very large number when there was
     *     none
     */
    public long availableForMillis(long nowMillis) {
        return nowMillis - availableSinceMillis;
    }

    /**
     * Returns the entry of a target.
     *
     * @param target the target
     * @return the entry; empty when the target is not known
     */
    public Optional<TargetEntry> entry(TargetId target) {
        return Optional.ofNullable(entries.get(target));
    }

    /**
     * Returns the known targets, including missing ones.
     *
     * @return the snapshot
     */
    public FleetSnapshot fleet() {
        return fleet;
    }
}
