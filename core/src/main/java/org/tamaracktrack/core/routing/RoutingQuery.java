package org.tamaracktrack.core.routing;

import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import org.tamaracktrack.core.id.AdapterId;
import org.tamaracktrack.core.id.ModelId;
import org.tamaracktrack.core.id.RequestClassId;
import org.tamaracktrack.core.id.ServiceId;

/**
 * Describes what an attempt needs of a target. Exactly one of model and service is present.
 *
 * @param requestClass the request class whose estimated wait is used
 * @param model the model
 * @param adapter the adapter of the model
 * @param service the plain service; empty for a model call
 * @param prefix the hash of the prompt's prefix; empty without a prompt
 */
public record RoutingQuery(
        RequestClassId requestClass,
        Optional<ModelId> model,
        Optional<AdapterId> adapter,
        Optional<ServiceId> service,
        OptionalLong prefix) {

    /** Checks the arguments. */
    public RoutingQuery {
        Objects.requireNonNull(requestClass, "requestClass is null");
        Objects.requireNonNull(model, "model is null");
        Objects.requireNonNull(adapter, "adapter is null");
        Objects.requireNonNull(service, "service is null");
        Objects.requireNonNull(prefix, "prefix is null");
    }

    /**
     * Returns the query of a model call.
     *
     * @param requestClass the class
     * @param model the model
     * @param adapter the adapter
     * @param prefix the hash of the prompt's prefix
     * @return the query
     */
    public static RoutingQuery model(
            RequestClassId requestClass,
            ModelId model,
            Optional<AdapterId> adapter,
            OptionalLong prefix) {
        return new RoutingQuery(
                requestClass, Optional.of(model), adapter, Optional.empty(), prefix);
    }

    /**
     * Returns the query of a service call.
     *
     * @param requestClass the class
     * @param service the service
     * @return the query
     */
    public static RoutingQuery service(RequestClassId requestClass, ServiceId service) {
        return new RoutingQuery(
                requestClass,
                Optional.empty(),
                Optional.empty(),
                Optional.of(service),
                OptionalLong.empty());
    }
}
