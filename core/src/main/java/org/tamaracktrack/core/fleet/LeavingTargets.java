package org.tamaracktrack.core.fleet;

import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.stream.Collectors;
import org.tamaracktrack.core.id.TargetId;

/**
 * The target incarnations that have stated in an answer that they leave. Immutable.
 *
 * <p>The statement holds for as long as the incarnation runs, whatever the registry says. Its
 * records may be older than the answer, unreadable, or restored from a backup.
 */
public final class LeavingTargets {
    /** More than leave while requests to the first of them may still be selected. */
    private static final int MAX_INCARNATIONS = 1_000;

    private static final LeavingTargets EMPTY = new LeavingTargets(Set.of());

    private final Set<TargetIncarnation> incarnations;

    private LeavingTargets(Set<TargetIncarnation> incarnations) {
        this.incarnations = incarnations;
    }

    /**
     * Returns a set without targets.
     *
     * @return the set
     */
    public static LeavingTargets empty() {
        return EMPTY;
    }

    /**
     * Returns a copy with another incarnation. Beyond 1,000 incarnations, the one that was added
     * first is left out.
     *
     * @param incarnation the incarnation that has stated that it leaves
     * @return the copy; this set when it contains the incarnation
     */
    public LeavingTargets with(TargetIncarnation incarnation) {
        Objects.requireNonNull(incarnation, "incarnation is null");
        if (contains(incarnation)) {
            return this;
        }
        Set<TargetIncarnation> newer =
                incarnations.stream()
                        .skip(Math.max(0, incarnations.size() + 1 - MAX_INCARNATIONS))
                        .collect(Collectors.toCollection(LinkedHashSet::new));
        newer.add(incarnation);
        return new LeavingTargets(Collections.unmodifiableSet(newer));
    }

    /**
     * Returns whether an incarnation has stated that it leaves.
     *
     * @param incarnation the incarnation
     * @return true when it has
     */
    public boolean contains(TargetIncarnation incarnation) {
        return incarnations.contains(incarnation);
    }

    /**
     * Marks an entry as leaving when its incarnation has stated that it leaves.
     *
     * @param entry the entry
     * @return the entry as it is to be used
     */
    public TargetEntry mark(TargetEntry entry) {
        Objects.requireNonNull(entry, "entry is null");
        return !entry.leaving() && contains(entry.incarnation()) ? entry.asLeaving() : entry;
    }

    /**
     * Marks the targets of a fleet that have stated that they leave.
     *
     * @param fleet the fleet
     * @return the marked fleet; the same one when nothing changes
     */
    public FleetSnapshot mark(FleetSnapshot fleet) {
        Objects.requireNonNull(fleet, "fleet is null");
        Map<TargetId, TargetEntry> changed = new HashMap<>();
        incarnations.stream()
                .flatMap(incarnation -> fleet.entry(incarnation.target()).stream())
                .filter(entry -> mark(entry) != entry)
                .forEach(entry -> changed.put(entry.incarnation().target(), mark(entry)));
        return changed.isEmpty() ? fleet : fleet.with(changed);
    }
}
