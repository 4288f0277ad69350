package org.tamaracktrack.core.copies;

import java.util.Map;
import java.util.Objects;
import java.util.Set;
import org.tamaracktrack.core.fleet.HeldModel;
import org.tamaracktrack.core.fleet.ModelNeed;
import org.tamaracktrack.core.id.ModelId;

/**
 * What an engine says of itself when asked. It may be some hundred milliseconds old.
 *
 * @param orders how many orders it has accepted in this run
 * @param busy whether it is carrying out an order
 * @param running requests that it runs
 * @param waiting requests in its queue
 * @param models what it holds
 * @param coming adapters on their way to it
 * @param copiesInMemory models that it can load from main memory
 * @param copiesOnDisk models that it can load from disk
 */
public record EngineReport(
        long orders,
        boolean busy,
        int running,
        int waiting,
        Map<ModelId, HeldModel> models,
        Set<ModelNeed> coming,
        Set<ModelId> copiesInMemory,
        Set<ModelId> copiesOnDisk) {

    /** Checks the arguments. */
    public EngineReport {
        Objects.requireNonNull(models, "models is null");
        models = Map.copyOf(models);
        coming = Set.copyOf(coming);
        copiesInMemory = Set.copyOf(copiesInMemory);
        copiesOnDisk = Set.copyOf(copiesOnDisk);
    }
}
