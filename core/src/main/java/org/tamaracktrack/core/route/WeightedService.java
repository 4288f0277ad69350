package org.tamaracktrack.core.route;

import java.util.Objects;
import org.tamaracktrack.core.id.ServiceId;

/**
 * A service with its share of a route's requests.
 *
 * @param service the service
 * @param weight its weight against the route's other services, not negative
 */
public record WeightedService(ServiceId service, double weight) {

    /** Checks the arguments. */
    public WeightedService {
        Objects.requireNonNull(service, "service is null");
    }
}
