package org.tamaracktrack.daemon.gateway;

import java.util.OptionalLong;
import org.tamaracktrack.core.dispatch.DispatchRequest;
import org.tamaracktrack.core.dispatch.ModelLoadTime;
import org.tamaracktrack.core.fleet.ModelNeed;
import org.tamaracktrack.core.route.EngineSpecification;

/** When a request that no target can run now could be run. */
final class ExpectedLoad {
    /** From the request for an adapter until it is loaded and known to be. */
    private static final long ADAPTER_MILLIS = 700;

    private ExpectedLoad() {}

    /** Returns the time until a copy is up; empty when there is none to wait for. */
    static OptionalLong millis(DispatchRequest work, GatewayView view) {
        return view.configuration()
                .flatMap(configuration -> configuration.engine(work.service()))
                .flatMap(engine -> work.need().map(need -> millis(work, need, engine, view)))
                .orElse(OptionalLong.empty());
    }

    private static OptionalLong millis(
            DispatchRequest work, ModelNeed need, EngineSpecification engine, GatewayView view) {
        boolean held =
                view.fleet().ready(work.service()).anyMatch(entry -> entry.holds(need.model()));
        // Only the adapter is missing: it comes within a fraction of a second.
        return held
                ? OptionalLong.of(ADAPTER_MILLIS)
                : ModelLoadTime.estimateMillis(need.model(), work.service(), engine, view.fleet());
    }
}
