package org.tamaracktrack.core.route;

import java.util.Map;
import java.util.Optional;
import org.tamaracktrack.core.id.ModelId;

/**
 * What the model engines of a service can hold and run.
 *
 * @param slots requests at once on one engine
 * @param megabytes accelerator memory for weights and adapters on one engine
 * @param adapterPlaces adapters on one engine
 * @param loadsPerSecond loads from the weight store, all engines together
 * @param models the models by name
 */
public record EngineSpecification(
        int slots,
        double megabytes,
        int adapterPlaces,
        double loadsPerSecond,
        Map<ModelId, ModelSpecification> models) {

    /** Copies the models. */
    public EngineSpecification {
        models = Map.copyOf(models);
    }

    /**
     * Returns what it takes to hold a model.
     *
     * @param model the model
     * @return its specification; empty for a model that is not configured
     */
    public Optional<ModelSpecification> model(ModelId model) {
        return Optional.ofNullable(models.get(model));
    }
}
