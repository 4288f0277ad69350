package org.tamaracktrack.core.route;

import java.util.Objects;
import java.util.Optional;
import org.tamaracktrack.core.id.ServiceId;

/**
 * A service behind the routes.
 *
 * @param service its name
 * @param engine what its engines can hold; empty for a plain service
 */
public record ServiceSpecification(ServiceId service, Optional<EngineSpecification> engine) {

    /** Checks the arguments. */
    public ServiceSpecification {
        Objects.requireNonNull(service, "service is null");
        Objects.requireNonNull(engine, "engine is null");
    }
}
