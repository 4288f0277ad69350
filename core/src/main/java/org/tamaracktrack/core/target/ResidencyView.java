package org.tamaracktrack.core.target;

import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.tamaracktrack.core.admission.Need;
import org.tamaracktrack.core.config.Configuration;
import org.tamaracktrack.core.id.AcceleratorId;
import org.tamaracktrack.core.id.ModelId;
import org.tamaracktrack.core.id.TargetId;
import org.tamaracktrack.core.log.LogEntry;

/**
 * The input of {@link ResidencyPlanner}: the configuration, plan, engine inventory and demand.
 *
 * @param target the target
 * @param configuration the configuration in force
 * @param configuredForMillis the time for which that configuration has been in force on this target
 * @param plan the placement plan in force; empty if there is none
 * @param inventory the inventory of the engine
 * @param free the memory in MiB that is neither committed nor reserved, by accelerator
 * @param pendingChanges the changes that were ordered and whose outcome is not known yet
 * @param unmet the needs of waiting requests, longest waiting first
 * @param inUse the needs of running requests
 * @param loadAllowed whether the load rate limit of the target allows a load without a plan now
 * @param lastUsedMillis the time of the last use of each need by the monotonic clock
 */
public record ResidencyView(
        TargetId target,
        Configuration configuration,
        long configuredForMillis,
        Optional<LogEntry.PlanPublished> plan,
        EngineInventory inventory,
        Map<AcceleratorId, Long> free,
        List<ResidencyChange> pendingChanges,
        Set<Need> unmet,
        Set<Need> inUse,
        boolean loadAllowed,
        Map<Need, Long> lastUsedMillis) {

    /** Checks the arguments. */
    public ResidencyView {
        Objects.requireNonNull(target, "target is null");
        Objects.requireNonNull(configuration, "configuration is null");
        Objects.requireNonNull(plan, "plan is null");
        Objects.requireNonNull(inventory, "inventory is null");
        free = Map.copyOf(free);
        pendingChanges = List.copyOf(pendingChanges);
    }

    List<LogEntry.Placement> placementsHere() {
        return placements().stream()
                .filter(placement -> placement.target().equals(target))
                .filter(placement -> configuration.models().containsKey(placement.model()))
                .toList();
    }

    Set<ModelId> placedHere() {
        return placementsHere().stream().map(LogEntry.Placement::model).collect(Collectors.toSet());
    }

    Set<TargetId> placedTargetsOf(ModelId model) {
        return placements().stream()
                .filter(placement -> placement.model().equals(model))
                .map(LogEntry.Placement::target)
                .collect(Collectors.toSet());
    }

    Set<ModelId> placedElsewhere() {
        return placements().stream()
                .filter(placement -> !placement.target().equals(target))
                .map(LogEntry.Placement::model)
                .collect(Collectors.toSet());
    }

    private List<LogEntry.Placement> placements() {
        return plan.map(LogEntry.PlanPublished::placements).orElse(List.of());
    }

    boolean isModelInUse(ModelId model) {
        return inUse.stream().anyMatch(need -> need.model().equals(model));
    }

    long lastUsedMillis(ModelId model) {
        return lastUsedMillis.entrySet().stream()
                .filter(entry -> entry.getKey().model().equals(model))
                .mapToLong(Map.Entry::getValue)
                .max()
                .orElse(Long.MIN_VALUE);
    }

    long lastUsedMillis(Need need) {
        return lastUsedMillis.getOrDefault(need, Long.MIN_VALUE);
    }
}
