package org.tamaracktrack.daemon.gateway;

import java.util.OptionalLong;
import org.tamaracktrack.core.dispatch.DispatchRequest;
import org.tamaracktrack.core.dispatch.ModelLoadTime;
import org.tamaracktrack.core.fleet.ModelNeed;
import org.tamaracktrack.core.route.EngineSpecification;

/** Estimates when a request that no target can run at present could be run. */
final class ExpectedLoadTime {
    /** The time from the request for an adapter until it is loaded and the registry shows it. */
    private static final long ADAPTER_LOAD_MILLIS = 700;

    private ExpectedLoadTime() {}

    /** Returns the time in milliseconds until a replica is ready; empty when none is expected. */
    static OptionalLong estimateMillis(DispatchRequest request, GatewayView view) {
        return view.configuration()
                .flatMap(configuration -> configuration.engine(request.service()))
                .flatMap(
                        engine ->
                                request.need()
                                        .map(need -> estimateMillis(request, need, engine, view)))
                .orElse(OptionalLong.empty());
    }

    private static OptionalLong estimateMillis(
            DispatchRequest request, ModelNeed need, EngineSpecification engine, GatewayView view) {
        boolean modelReady =
                view.fleet()
                        .ready(request.service())
                        .filter(request::fitsVersionOf)
                        .anyMatch(entry -> entry.holds(need.model()));
        if (modelReady) {
            // Only the adapter is missing, which loads within a fraction of a second.
            return OptionalLong.of(ADAPTER_LOAD_MILLIS);
        }
        // Placement does not regard software versions, so the model may be loaded at another one.
        return request.version().isPresent()
                ? OptionalLong.empty()
                : ModelLoadTime.estimateMillis(
                        need.model(), request.service(), engine, view.fleet());
    }
}
