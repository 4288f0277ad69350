package org.tamaracktrack.core.dispatch;

import java.util.OptionalLong;
import org.tamaracktrack.core.fleet.FleetSnapshot;
import org.tamaracktrack.core.fleet.TargetEntry;
import org.tamaracktrack.core.id.ModelId;
import org.tamaracktrack.core.id.ServiceId;
import org.tamaracktrack.core.route.EngineSpecification;
import org.tamaracktrack.core.route.ModelSpecification;

/** Estimates how long it takes to load a model that no engine holds. */
public final class ModelLoadTime {
    /**
     * Time to issue the order, free memory, and announce the new copy to all daemons: about 0.4 s.
     */
    private static final long OVERHEAD_MILLIS = 400;

    private ModelLoadTime() {}

    /**
     * Returns the time until a first copy can serve requests, loaded from the fastest source that
     * any engine has: memory, disk, or the weight store.
     *
     * @param model the model
     * @param service the service of the engines
     * @param engine the specification of those engines
     * @param fleet the targets
     * @return the time in milliseconds; empty when the model is not configured or no engine is
     *     ready
     */
    public static OptionalLong estimateMillis(
            ModelId model, ServiceId service, EngineSpecification engine, FleetSnapshot fleet) {
        return engine.model(model).stream()
                .flatMapToLong(
                        specification ->
                                fleet.ready(service)
                                        .mapToLong(entry -> loadMillis(specification, entry)))
                .min()
                .stream()
                .map(millis -> millis + OVERHEAD_MILLIS)
                .findFirst();
    }

    private static long loadMillis(ModelSpecification model, TargetEntry entry) {
        if (entry.modelsInMemory().contains(model.model())) {
            return model.memoryMillis();
        }
        return entry.modelsOnDisk().contains(model.model())
                ? model.diskMillis()
                : model.storeMillis();
    }
}
