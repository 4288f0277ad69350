package org.tamaracktrack.core.copies;

import java.util.Objects;
import java.util.Optional;
import org.tamaracktrack.core.fleet.TargetIncarnation;
import org.tamaracktrack.core.id.AdapterId;
import org.tamaracktrack.core.id.ModelId;

/**
 * An order to an engine.
 *
 * @param engine the engine
 * @param load true to load, false to unload
 * @param model the model
 * @param adapter the adapter of that model, or empty for the model itself
 */
public record EngineOrder(
        TargetIncarnation engine, boolean load, ModelId model, Optional<AdapterId> adapter) {

    /** Checks the arguments. */
    public EngineOrder {
        Objects.requireNonNull(engine, "engine is null");
        Objects.requireNonNull(model, "model is null");
        Objects.requireNonNull(adapter, "adapter is null");
    }

    /**
     * Returns whether the order moves a model's weights.
     *
     * @return false for adapters
     */
    public boolean ofModel() {
        return adapter.isEmpty();
    }
}
