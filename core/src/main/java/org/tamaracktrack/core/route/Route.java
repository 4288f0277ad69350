package org.tamaracktrack.core.route;

import java.util.List;
import java.util.Objects;
import org.tamaracktrack.core.id.ServiceId;

/**
 * Describes how requests of one host name and path prefix are served.
 *
 * @param name the name of the route in logs and metrics
 * @param host the host name that callers send, in lower case
 * @param pathPrefix the path prefix, which begins and ends with a slash
 * @param kind the kind of the route, which determines what is allowed after a failure
 * @param resumable whether an interrupted stream may be resumed at another target
 * @param timeoutMillis the maximum time that a caller waits, in milliseconds
 * @param objectiveMillis the objective for the time to the answer, or to the first event of a
 *     stream, in milliseconds
 * @param priority the priority; 0 is the highest
 * @param maximumAttempts the maximum number of targets that a request may be sent to
 * @param isPublic whether callers need no key
 * @param services the services that requests are distributed to, with their weights
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
        boolean isPublic,
        List<WeightedService> services) {
    /** Requests with a longer objective have seconds to spare. */
    private static final long PATIENT_OBJECTIVE_MILLIS = 4_000;

    /** Checks the arguments. */
    public Route {
        Objects.requireNonNull(name, "name is null");
        Objects.requireNonNull(host, "host is null");
        Objects.requireNonNull(pathPrefix, "pathPrefix is null");
        Objects.requireNonNull(kind, "kind is null");
        services = List.copyOf(services);
    }

    /**
     * Returns whether an objective leaves seconds to spare.
     *
     * @param objectiveMillis the objective in milliseconds
     * @return true for requests that can wait, for instance until a model is loaded
     */
    public static boolean isPatient(long objectiveMillis) {
        return objectiveMillis > PATIENT_OBJECTIVE_MILLIS;
    }

    /**
     * Returns whether requests have seconds to spare.
     *
     * @return true for requests that can wait, for instance until a model is loaded
     */
    public boolean isPatient() {
        return isPatient(objectiveMillis);
    }

    /**
     * Returns whether a request may be retried when it is unknown whether it has run.
     *
     * @return true for idempotent requests and resumable streams
     */
    public boolean repeatable() {
        return kind == RouteKind.IDEMPOTENT || kind == RouteKind.STREAMING && resumable;
    }

    /**
     * Returns whether requests may be sent to a service.
     *
     * @param service the service
     * @return true when the route distributes requests to it
     */
    public boolean allows(ServiceId service) {
        return services.stream()
                .anyMatch(
                        candidate -> candidate.service().equals(service) && candidate.weight() > 0);
    }

    /**
     * Selects the service of one request in proportion to the weights.
     *
     * @param draw a random number from 0 (inclusive) to 1 (exclusive)
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
