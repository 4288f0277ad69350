package org.tamaracktrack.core.copies;

import java.util.Objects;
import java.util.Optional;
import org.tamaracktrack.core.fleet.TargetIncarnation;
import org.tamaracktrack.core.id.AdapterId;
import org.tamaracktrack.core.id.ModelId;

/**
 * Describes an order to an engine to load or unload a model or an adapter.
 *
 * @param engine the engine
 * @param load true for a load, false for an unload
 * @param model the model
 * @param adapter the adapter of that model, or empty for the model itself
 */
public record PlacementOrder(
        TargetIncarnation engine, boolean load, ModelId model, Optional<AdapterId> adapter) {

    /** Checks the arguments. */
    public PlacementOrder {
        Objects.requireNonNull(engine, "engine is null");
        Objects.requireNonNull(model, "model is null");
        Objects.requireNonNull(adapter, "adapter is null");
    }

    /**
     * Returns whether the order loads or unloads the weights of a model.
     *
     * @return true for a model, false for an adapter
     */
    public boolean isModelOrder() {
        return adapter.isEmpty();
    }
}
