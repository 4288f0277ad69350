package org.tamaracktrack.core.route;

import java.util.List;
import java.util.Objects;
import org.tamaracktrack.core.id.AdapterId;
import org.tamaracktrack.core.id.ModelId;

/**
 * Describes the memory and load times of one model.
 *
 * @param model the model
 * @param megabytes the accelerator memory of its weights, in megabytes
 * @param storeMillis the time to load it from the weight store, in milliseconds
 * @param memoryMillis the time to load it from the target's main memory, in milliseconds
 * @param diskMillis the time to load it from the target's disk, in milliseconds
 * @param adapterMegabytes the accelerator memory of one of its adapters, in megabytes
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
