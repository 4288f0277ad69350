package org.tamaracktrack.core.route;

import java.util.Objects;
import java.util.Optional;
import org.tamaracktrack.core.id.ServiceId;

/**
 * Describes a service that routes refer to.
 *
 * @param service the name of the service
 * @param engine the specification of its engines; empty for a plain service
 * @param maximumConnections the connections that each of its targets accepts from all callers
 *     together; 0 for no maximum
 */
public record ServiceSpecification(
        ServiceId service, Optional<EngineSpecification> engine, int maximumConnections) {

    /** Checks the arguments. */
    public ServiceSpecification {
        Objects.requireNonNull(service, "service is null");
        Objects.requireNonNull(engine, "engine is null");
        if (maximumConnections < 0) {
            throw new IllegalArgumentException("maximumConnections is negative");
        }
    }
}
