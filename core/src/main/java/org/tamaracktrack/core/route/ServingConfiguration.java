package org.tamaracktrack.core.route;

import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import org.tamaracktrack.core.account.AccountDirectory;
import org.tamaracktrack.core.id.ServiceId;

/**
 * Holds one version of the serving configuration that operators published.
 *
 * @param version the version, which increases with each publication, not necessarily by one
 * @param routes the routes
 * @param services the services by name
 * @param limits the limits on requests of callers
 * @param accounts the client accounts
 */
public record ServingConfiguration(
        long version,
        RouteTable routes,
        Map<ServiceId, ServiceSpecification> services,
        RequestLimits limits,
        AccountDirectory accounts) {

    /** Checks the arguments. */
    public ServingConfiguration {
        Objects.requireNonNull(routes, "routes is null");
        Objects.requireNonNull(limits, "limits is null");
        Objects.requireNonNull(accounts, "accounts is null");
        services = Map.copyOf(services);
    }

    /**
     * Returns a service's specification.
     *
     * @param service the service
     * @return the specification; empty when the service is not configured
     */
    public Optional<ServiceSpecification> service(ServiceId service) {
        return Optional.ofNullable(services.get(service));
    }

    /**
     * Returns the specification of a service's engines.
     *
     * @param service the service
     * @return the specification; empty for a plain service and when the service is not configured
     */
    public Optional<EngineSpecification> engine(ServiceId service) {
        return service(service).flatMap(ServiceSpecification::engine);
    }
}
