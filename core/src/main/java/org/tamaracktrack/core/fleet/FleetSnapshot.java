package org.tamaracktrack.core.fleet;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.tamaracktrack.core.id.ServiceId;
import org.tamaracktrack.core.id.TargetId;

/** Holds the targets that are known at one moment. Immutable. */
public final class FleetSnapshot {
    private static final FleetSnapshot EMPTY = new FleetSnapshot(Map.of());

    private final Map<TargetId, TargetEntry> byTarget;
    private final Map<ServiceId, List<TargetEntry>> byService;

    private FleetSnapshot(Map<TargetId, TargetEntry> byTarget) {
        this.byTarget = Map.copyOf(byTarget);
        this.byService =
                byTarget.values().stream()
                        .sorted((one, other) -> sortKey(one).compareTo(sortKey(other)))
                        .collect(
                                Collectors.groupingBy(
                                        TargetEntry::service, Collectors.toUnmodifiableList()));
    }

    private static TargetId sortKey(TargetEntry entry) {
        return entry.incarnation().target();
    }

    /**
     * Returns a snapshot without targets.
     *
     * @return the snapshot
     */
    public static FleetSnapshot empty() {
        return EMPTY;
    }

    /**
     * Returns a snapshot of the given targets.
     *
     * @param byTarget the targets by name
     * @return the snapshot
     */
    public static FleetSnapshot of(Map<TargetId, TargetEntry> byTarget) {
        return new FleetSnapshot(byTarget);
    }

    /**
     * Returns a copy in which some targets are replaced.
     *
     * @param changed the entries to replace or add, by name
     * @return the copy
     */
    public FleetSnapshot with(Map<TargetId, TargetEntry> changed) {
        Map<TargetId, TargetEntry> newer = new HashMap<>(byTarget);
        newer.putAll(changed);
        return of(newer);
    }

    /**
     * Returns the targets of a service.
     *
     * @param service the service
     * @return its targets, including those that are leaving, sorted by name
     */
    public List<TargetEntry> of(ServiceId service) {
        return byService.getOrDefault(service, List.of());
    }

    /**
     * Returns the targets of a service that accept new requests.
     *
     * @param service the service
     * @return its targets that are not leaving, sorted by name
     */
    public Stream<TargetEntry> ready(ServiceId service) {
        return of(service).stream().filter(entry -> !entry.leaving());
    }

    /**
     * Returns the registry entry of a target.
     *
     * @param target the target
     * @return the entry; empty when the target is not known
     */
    public Optional<TargetEntry> entry(TargetId target) {
        return Optional.ofNullable(byTarget.get(target));
    }

    /**
     * Returns all targets.
     *
     * @return the targets, in no particular order
     */
    public Stream<TargetEntry> all() {
        return byTarget.values().stream();
    }
}
