package org.tamaracktrack.core.fleet;

import java.util.Objects;
import java.util.Set;
import org.tamaracktrack.core.id.AdapterId;
import org.tamaracktrack.core.id.ModelId;

/**
 * A model in a target's accelerator memory.
 *
 * @param model the model
 * @param adapters its adapters that are ready too
 */
public record HeldModel(ModelId model, Set<AdapterId> adapters) {

    /** Checks the arguments. */
    public HeldModel {
        Objects.requireNonNull(model, "model is null");
        adapters = Set.copyOf(adapters);
    }
}
