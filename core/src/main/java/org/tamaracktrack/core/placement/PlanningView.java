package org.tamaracktrack.core.placement;

import java.util.Map;
import java.util.Objects;
import org.tamaracktrack.core.config.Configuration;
import org.tamaracktrack.core.id.ModelId;
import org.tamaracktrack.core.id.TargetId;

/**
 * The input of the planner: the configuration, the state of the targets and the demand.
 *
 * @param nowMillis the current time by the monotonic clock
 * @param configuration the configuration in force
 * @param targets the last reported status of each target
 * @param demand the demand by model; a model without an entry has no demand
 */
public record PlanningView(
        long nowMillis,
        Configuration configuration,
        Map<TargetId, TargetStatus> targets,
        Map<ModelId, ModelDemand> demand) {

    /** Checks the arguments. */
    public PlanningView {
        Objects.requireNonNull(configuration, "configuration is null");
        targets = Map.copyOf(targets);
        demand = Map.copyOf(demand);
    }

    /**
     * Returns the demand for a model.
     *
     * @param model the model
     * @return its demand
     */
    public ModelDemand demand(ModelId model) {
        return demand.getOrDefault(model, ModelDemand.NONE);
    }

    /**
     * Returns whether new copies can be placed on a target.
     *
     * @param target the target
     * @return true if it is configured, reachable and not leaving
     */
    public boolean usable(TargetId target) {
        TargetStatus status = targets.get(target);
        return configuration.targets().containsKey(target) && status != null && status.usable();
    }

    /**
     * Returns whether a model is ready on a usable target.
     *
     * @param model the model
     * @param target the target
     * @return true if the target is usable and the model is ready there
     */
    public boolean ready(ModelId model, TargetId target) {
        return usable(target) && targets.get(target).resident().contains(model);
    }
}
