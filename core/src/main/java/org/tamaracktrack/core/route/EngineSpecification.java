package org.tamaracktrack.core.route;

import java.util.Map;
import java.util.Optional;
import org.tamaracktrack.core.id.ModelId;

/**
 * Describes what each model engine of a service can hold and run.
 *
 * @param slots the number of requests that one engine runs at the same time
 * @param megabytes the accelerator memory of one engine for weights and adapters, in megabytes
 * @param adapterSlots the number of adapters that one engine can hold
 * @param loadsPerSecond the maximum rate of loads from the weight store over all engines, in loads
 *     per second
 * @param models the models by name
 */
public record EngineSpecification(
        int slots,
        double megabytes,
        int adapterSlots,
        double loadsPerSecond,
        Map<ModelId, ModelSpecification> models) {

    /** Copies the models. */
    public EngineSpecification {
        models = Map.copyOf(models);
    }

    /**
     * Returns the specification of a model.
     *
     * @param model the model
     * @return the specification; empty when the model is not configured
     */
    public Optional<ModelSpecification> model(ModelId model) {
        return Optional.ofNullable(models.get(model));
    }
}
