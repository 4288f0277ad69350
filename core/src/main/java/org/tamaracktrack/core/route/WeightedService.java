package org.tamaracktrack.core.route;

import java.util.Objects;
import org.tamaracktrack.core.id.ServiceId;

/**
 * Holds a service with its weight among the services of a route.
 *
 * @param service the service
 * @param weight the weight relative to the route's other services, not negative
 */
public record WeightedService(ServiceId service, double weight) {

    /** Checks the arguments. */
    public WeightedService {
        Objects.requireNonNull(service, "service is null");
    }
}
