package org.tamaracktrack.core.copies;

import java.util.Map;
import java.util.Objects;
import java.util.Set;
import org.tamaracktrack.core.fleet.HeldModel;
import org.tamaracktrack.core.fleet.ModelNeed;
import org.tamaracktrack.core.id.ModelId;

/**
 * Describes the state that an engine reports on request. It may be some hundred milliseconds old.
 *
 * @param acceptedOrders the number of orders that it has accepted in this incarnation
 * @param busy whether it is executing an order
 * @param running the number of requests that it runs
 * @param waiting the number of requests in its queue
 * @param models the models that it holds
 * @param arrivingAdapters the adapters that are being loaded
 * @param modelsInMemory the models that it can load from main memory
 * @param modelsOnDisk the models that it can load from disk
 */
public record EngineReport(
        long acceptedOrders,
        boolean busy,
        int running,
        int waiting,
        Map<ModelId, HeldModel> models,
        Set<ModelNeed> arrivingAdapters,
        Set<ModelId> modelsInMemory,
        Set<ModelId> modelsOnDisk) {

    /** Checks the arguments. */
    public EngineReport {
        Objects.requireNonNull(models, "models is null");
        models = Map.copyOf(models);
        arrivingAdapters = Set.copyOf(arrivingAdapters);
        modelsInMemory = Set.copyOf(modelsInMemory);
        modelsOnDisk = Set.copyOf(modelsOnDisk);
    }
}
