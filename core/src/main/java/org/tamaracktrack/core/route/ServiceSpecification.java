package org.tamaracktrack.core.route;

import java.util.Objects;
import java.util.Optional;
import org.tamaracktrack.core.id.ServiceId;

/**
 * Describes a service that routes refer to.
 *
 * @param service the name of the service
 * @param engine the specification of its engines; empty for a plain service
 */
public record ServiceSpecification(ServiceId service, Optional<EngineSpecification> engine) {

    /** Checks the arguments. */
    public ServiceSpecification {
        Objects.requireNonNull(service, "service is null");
        Objects.requireNonNull(engine, "engine is null");
    }
}
