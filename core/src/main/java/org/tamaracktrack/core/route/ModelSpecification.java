package org.tamaracktrack.core.route;

import java.util.List;
import java.util.Objects;
import org.tamaracktrack.core.id.AdapterId;
import org.tamaracktrack.core.id.ModelId;

/**
 * What it takes to hold one model.
 *
 * @param model the model
 * @param megabytes accelerator memory of its weights
 * @param storeMillis time to load it from the weight store
 * @param memoryMillis time to load it from the target's main memory
 * @param diskMillis time to load it from the target's disk
 * @param adapterMegabytes accelerator memory of one of its adapters
 * @param adapters its adapters
 */
public record ModelSpecification(
        ModelId model,
        double megabytes,
        long storeMillis,
        long memoryMillis,
        long diskMillis,
        double adapterMegabytes,
        List<AdapterId> adapters) {

    /** Checks the arguments. */
    public ModelSpecification {
        Objects.requireNonNull(model, "model is null");
        adapters = List.copyOf(adapters);
    }
}
