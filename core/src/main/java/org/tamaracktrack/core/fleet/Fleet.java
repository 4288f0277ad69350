package org.tamaracktrack.core.fleet;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.tamaracktrack.core.id.ServiceId;
import org.tamaracktrack.core.id.TargetId;

/** The targets known at one moment. Immutable. */
public final class Fleet {
    private static final Fleet EMPTY = new Fleet(Map.of());

    private final Map<TargetId, TargetEntry> byTarget;
    private final Map<ServiceId, List<TargetEntry>> byService;

    private Fleet(Map<TargetId, TargetEntry> byTarget) {
        this.byTarget = Map.copyOf(byTarget);
        this.byService =
                byTarget.values().stream()
                        .sorted((one, other) -> order(one).compareTo(order(other)))
                        .collect(
                                Collectors.groupingBy(
                                        TargetEntry::service, Collectors.toUnmodifiableList()));
    }

    private static TargetId order(TargetEntry entry) {
        return entry.incarnation().target();
    }

    /**
     * Returns a fleet without targets.
     *
     * @return the fleet
     */
    public static Fleet empty() {
        return EMPTY;
    }

    /**
     * Returns a fleet.
     *
     * @param byTarget the targets by name
     * @return the fleet
     */
    public static Fleet of(Map<TargetId, TargetEntry> byTarget) {
        return new Fleet(byTarget);
    }

    /**
     * Returns the targets of a service.
     *
     * @param service the service
     * @return its targets, also those that are leaving, by name
     */
    public List<TargetEntry> of(ServiceId service) {
        return byService.getOrDefault(service, List.of());
    }

    /**
     * Returns the targets of a service that take new work.
     *
     * @param service the service
     * @return its targets
     */
    public Stream<TargetEntry> ready(ServiceId service) {
        return of(service).stream().filter(entry -> !entry.leaving());
    }

    /**
     * Returns what is known of a target.
     *
     * @param target the target
     * @return its entry; empty when it is not known
     */
    public Optional<TargetEntry> entry(TargetId target) {
        return Optional.ofNullable(byTarget.get(target));
    }

    /**
     * Returns every target.
     *
     * @return the targets
     */
    public Stream<TargetEntry> all() {
        return byTarget.values().stream();
    }
}
