package org.tamaracktrack.core.fleet;

import java.util.Objects;
import java.util.Optional;
import org.tamaracktrack.core.id.AdapterId;
import org.tamaracktrack.core.id.ModelId;

/**
 * What a request needs in a target's accelerator memory.
 *
 * @param model the model
 * @param adapter the adapter of that model, if the request names one
 */
public record ModelNeed(ModelId model, Optional<AdapterId> adapter) {

    /** Checks the arguments. */
    public ModelNeed {
        Objects.requireNonNull(model, "model is null");
        Objects.requireNonNull(adapter, "adapter is null");
    }

    @Override
    public String toString() {
        return adapter.map(name -> model + "/" + name).orElseGet(model::toString);
    }
}
