package org.tamaracktrack.core.fleet;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.stream.Collectors;
import org.tamaracktrack.core.id.ModelId;

/**
 * Holds the models in the memory of targets, as confirmed by the daemon that issues orders to them.
 * Immutable.
 *
 * <p>The registry contains the same information with a delay, which is much longer than the load of
 * an adapter. Requests that waited for the registry would be late.
 */
public final class ResidentModels {
    private static final ResidentModels EMPTY = new ResidentModels(Map.of());

    private final Map<TargetIncarnation, Map<ModelId, HeldModel>> byTarget;

    private ResidentModels(Map<TargetIncarnation, Map<ModelId, HeldModel>> byTarget) {
        this.byTarget = Map.copyOf(byTarget);
    }

    /**
     * Returns an instance without information on any target.
     *
     * @return the instance
     */
    public static ResidentModels empty() {
        return EMPTY;
    }

    /**
     * Returns a copy in which the models of one target are replaced.
     *
     * @param target the target and its incarnation
     * @param models the models that it holds; empty when they are no longer certain
     * @return the copy
     */
    public ResidentModels with(TargetIncarnation target, Optional<Map<ModelId, HeldModel>> models) {
        Objects.requireNonNull(target, "target is null");
        Objects.requireNonNull(models, "models is null");
        Map<TargetIncarnation, Map<ModelId, HeldModel>> updated = new HashMap<>(byTarget);
        updated.remove(target);
        models.ifPresent(held -> updated.put(target, Map.copyOf(held)));
        return new ResidentModels(updated);
    }

    /**
     * Returns the registry's targets, with the models of each target replaced where this instance
     * has information on its incarnation.
     *
     * @param registry the targets of the registry
     * @return the targets
     */
    public FleetSnapshot applyTo(FleetSnapshot registry) {
        if (byTarget.isEmpty()) {
            return registry;
        }
        return FleetSnapshot.of(
                registry.all()
                        .collect(
                                Collectors.toMap(
                                        entry -> entry.incarnation().target(),
                                        this::withConfirmedModels)));
    }

    private TargetEntry withConfirmedModels(TargetEntry entry) {
        Map<ModelId, HeldModel> models = byTarget.get(entry.incarnation());
        return models == null ? entry : entry.withModels(models);
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof ResidentModels holdings && byTarget.equals(holdings.byTarget);
    }

    @Override
    public int hashCode() {
        return byTarget.hashCode();
    }
}
