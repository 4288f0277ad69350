package org.tamaracktrack.core.route;

import java.util.List;
import java.util.Objects;
import org.tamaracktrack.core.id.ServiceId;

/**
 * Requests of one host name and path prefix, and how they are served.
 *
 * @param name the name for logs and metrics
 * @param host the host name that callers send, in lower case
 * @param pathPrefix begins and ends with a slash
 * @param kind what a failure allows
 * @param resumable whether a broken stream may go on at another target
 * @param timeoutMillis the longest that a caller is kept waiting
 * @param objectiveMillis the time to the answer, or to a stream's first event, that is promised
 * @param priority the rank, 0 is the highest
 * @param maximumAttempts to how many targets a request may be sent
 * @param services where requests go
 */
public record Route(
        String name,
        String host,
        String pathPrefix,
        RouteKind kind,
        boolean resumable,
        long timeoutMillis,
        long objectiveMillis,
        int priority,
        int maximumAttempts,
        List<WeightedService> services) {

    /** Checks the arguments. */
    public Route {
        Objects.requireNonNull(name, "name is null");
        Objects.requireNonNull(host, "host is null");
        Objects.requireNonNull(pathPrefix, "pathPrefix is null");
        Objects.requireNonNull(kind, "kind is null");
        services = List.copyOf(services);
    }

    /**
     * Returns whether a request may run again after it may have run.
     *
     * @return true for idempotent requests
     */
    public boolean repeatable() {
        return kind == RouteKind.IDEMPOTENT || kind == RouteKind.STREAMING && resumable;
    }

    /**
     * Chooses the service of one request.
     *
     * @param draw a number from 0 (inclusive) to 1 (exclusive)
     * @return the service
     */
    public ServiceId service(double draw) {
        double left = draw * services.stream().mapToDouble(WeightedService::weight).sum();
        for (WeightedService candidate : services) {
            left -= candidate.weight();
            if (left < 0) {
                return candidate.service();
            }
        }
        return services.get(services.size() - 1).service();
    }
}
