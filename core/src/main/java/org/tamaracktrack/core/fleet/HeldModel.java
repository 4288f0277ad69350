package org.tamaracktrack.core.fleet;

import java.util.Objects;
import java.util.Set;
import org.tamaracktrack.core.id.AdapterId;
import org.tamaracktrack.core.id.ModelId;

/**
 * Describes a model in a target's accelerator memory. Its text appears in the log.
 *
 * @param model the model
 * @param adapters its adapters that are ready
 */
public record HeldModel(ModelId model, Set<AdapterId> adapters) {

    /** Checks the arguments. */
    public HeldModel {
        Objects.requireNonNull(model, "model is null");
        adapters = Set.copyOf(adapters);
    }
}
