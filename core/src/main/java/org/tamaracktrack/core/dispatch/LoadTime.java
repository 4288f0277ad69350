package org.tamaracktrack.core.dispatch;

import java.util.OptionalLong;
import org.tamaracktrack.core.fleet.FleetSnapshot;
import org.tamaracktrack.core.fleet.TargetEntry;
import org.tamaracktrack.core.id.ModelId;
import org.tamaracktrack.core.id.ServiceId;
import org.tamaracktrack.core.route.EngineSpecification;
import org.tamaracktrack.core.route.ModelSpecification;

/** How long it takes to bring up a model that no engine holds. */
public final class LoadTime {
    /** Until the order is given, room is made, and the copy is known to all: measured 0.4 s. */
    private static final long AROUND_MILLIS = 400;

    private LoadTime() {}

    /**
     * Returns the time until a first copy can be used, by the quickest way that an engine has.
     *
     * @param model the model
     * @param service the service
     * @param engine what its engines can hold
     * @param fleet the targets
     * @return milliseconds; empty when the model is not configured or there is no engine
     */
    public static OptionalLong millis(
            ModelId model, ServiceId service, EngineSpecification engine, FleetSnapshot fleet) {
        return engine.model(model).stream()
                .flatMapToLong(
                        specification ->
                                fleet.ready(service)
                                        .mapToLong(entry -> loadMillis(specification, entry)))
                .min()
                .stream()
                .map(millis -> millis + AROUND_MILLIS)
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
