package org.tamaracktrack.core.admission;

import java.util.Objects;
import java.util.Optional;
import org.tamaracktrack.core.id.AdapterId;
import org.tamaracktrack.core.id.ModelId;

/**
 * The model and adapter that must be in accelerator memory before a request can start.
 *
 * @param model the model
 * @param adapter the adapter of the model, if the request names one
 */
public record Need(ModelId model, Optional<AdapterId> adapter) {

    /** Checks the arguments. */
    public Need {
        Objects.requireNonNull(model, "model is null");
        Objects.requireNonNull(adapter, "adapter is null");
    }

    /**
     * Returns the need of a request for a model.
     *
     * @param model the model
     * @return the need
     */
    public static Need of(ModelId model) {
        return new Need(model, Optional.empty());
    }

    /**
     * Returns the need of a request for an adapter.
     *
     * @param model the adapter's base model
     * @param adapter the adapter
     * @return the need
     */
    public static Need of(ModelId model, AdapterId adapter) {
        return new Need(model, Optional.of(adapter));
    }
}
