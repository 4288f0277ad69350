package org.tamaracktrack.core.copies;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.tamaracktrack.core.fleet.TargetIncarnation;
import org.tamaracktrack.core.id.DataCentreId;
import org.tamaracktrack.core.id.ModelId;

/**
 * Indexes, over all engines, the models that are held, about to be held, or available locally.
 *
 * @param replicas the engines that hold or will hold a replica, by model
 * @param dataCentres the data centres of these engines, by model
 * @param locallyAvailable the models that at least one engine can load without the weight store
 */
record ReplicaIndex(
        Map<ModelId, List<TargetIncarnation>> replicas,
        Map<ModelId, Set<DataCentreId>> dataCentres,
        Set<ModelId> locallyAvailable) {

    static ReplicaIndex of(Map<TargetIncarnation, EngineTracker> engines) {
        ReplicaIndex index = new ReplicaIndex(new HashMap<>(), new HashMap<>(), new HashSet<>());
        engines.forEach(index::add);
        return index;
    }

    private void add(TargetIncarnation engine, EngineTracker tracker) {
        tracker.held().keySet().stream()
                .filter(model -> tracker.outgoingModel().filter(model::equals).isEmpty())
                .forEach(model -> add(engine, tracker, model));
        tracker.incomingModel()
                .filter(model -> !tracker.held().containsKey(model))
                .ifPresent(model -> add(engine, tracker, model));
        locallyAvailable.addAll(tracker.locallyAvailableModels());
    }

    private void add(TargetIncarnation engine, EngineTracker tracker, ModelId model) {
        replicas.computeIfAbsent(model, key -> new ArrayList<>()).add(engine);
        dataCentres.computeIfAbsent(model, key -> new HashSet<>()).add(tracker.dataCentre());
    }
}
