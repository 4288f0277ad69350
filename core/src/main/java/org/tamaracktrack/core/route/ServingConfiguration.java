package org.tamaracktrack.core.route;

import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import org.tamaracktrack.core.id.ServiceId;

/**
 * One version of what operators published about serving.
 *
 * @param version grows with each publication, in uneven steps
 * @param routes the routes
 * @param services the services by name
 * @param limits bounds on what callers may send
 */
public record ServingConfiguration(
        long version,
        RouteTable routes,
        Map<ServiceId, ServiceSpecification> services,
        CallerLimits limits) {

    /** Checks the arguments. */
    public ServingConfiguration {
        Objects.requireNonNull(routes, "routes is null");
        Objects.requireNonNull(limits, "limits is null");
        services = Map.copyOf(services);
    }

    /**
     * Returns a service's specification.
     *
     * @param service the service
     * @return its specification; empty when it is not configured
     */
    public Optional<ServiceSpecification> service(ServiceId service) {
        return Optional.ofNullable(services.get(service));
    }

    /**
     * Returns what the engines of a service can hold.
     *
     * @param service the service
     * @return the engines; empty for a plain service
     */
    public Optional<EngineSpecification> engine(ServiceId service) {
        return service(service).flatMap(ServiceSpecification::engine);
    }
}
