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
 * What residency is decided from.
 *
 * @param target the target
 * @param configuration the configuration in force
 * @param configuredForMillis how long that configuration has been in force here
 * @param plan the placement plan in force, if there is one
 * @param inventory what the engine has in memory
 * @param free memory that is neither committed nor reserved
 * @param underWay changes ordered and not yet seen
 * @param unmet needs of waiting requests, longest waiting first
 * @param inUse needs of running requests
 * @param mayMove whether the pace allows a load on the target's own account now
 * @param lastUsedMillis when each need was last used, by the monotonic clock
 */
public record ResidencyView(
        TargetId target,
        Configuration configuration,
        long configuredForMillis,
        Optional<LogEntry.PlanPublished> plan,
        EngineInventory inventory,
        Map<AcceleratorId, Long> free,
        List<Change> underWay,
        Set<Need> unmet,
        Set<Need> inUse,
        boolean mayMove,
        Map<Need, Long> lastUsedMillis) {

    /** Checks the arguments. */
    public ResidencyView {
        Objects.requireNonNull(target, "target is null");
        Objects.requireNonNull(configuration, "configuration is null");
        Objects.requireNonNull(plan, "plan is null");
        Objects.requireNonNull(inventory, "inventory is null");
        free = Map.copyOf(free);
        underWay = List.copyOf(underWay);
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

    Set<TargetId> homesOf(ModelId model) {
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
