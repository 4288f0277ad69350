package org.tamaracktrack.core.config;

import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import org.tamaracktrack.core.id.AcceleratorId;
import org.tamaracktrack.core.id.AdapterId;
import org.tamaracktrack.core.id.ClientAccountId;
import org.tamaracktrack.core.id.DataCentreId;
import org.tamaracktrack.core.id.HostId;
import org.tamaracktrack.core.id.ModelId;
import org.tamaracktrack.core.id.RequestClassId;
import org.tamaracktrack.core.id.ServiceId;
import org.tamaracktrack.core.id.TargetId;
import org.tamaracktrack.core.id.TemplateId;

/**
 * A valid configuration with its templates expanded, as used by every process.
 *
 * @param moveCost the cost of one move, relative to one request served within its class; 0 or more
 * @param weightStore the limits of the weight store
 * @param idempotencyWindowMillis how long an idempotency key is remembered
 * @param classes the request classes by name
 * @param models the models by name
 * @param adapters the adapters by name
 * @param services the plain services by name
 * @param targets the targets by name
 * @param accounts the client accounts by name
 */
public record Configuration(
        double moveCost,
        WeightStoreLimits weightStore,
        long idempotencyWindowMillis,
        Map<RequestClassId, RequestClass> classes,
        Map<ModelId, Model> models,
        Map<AdapterId, Adapter> adapters,
        Map<ServiceId, Service> services,
        Map<TargetId, Target> targets,
        Map<ClientAccountId, ClientAccount> accounts) {

    /** Copies the maps. */
    public Configuration {
        Objects.requireNonNull(weightStore, "weightStore is null");
        classes = Map.copyOf(classes);
        models = Map.copyOf(models);
        adapters = Map.copyOf(adapters);
        services = Map.copyOf(services);
        targets = Map.copyOf(targets);
        accounts = Map.copyOf(accounts);
    }

    /**
     * The limits of the weight store.
     *
     * @param loadsPerSecond the number of loads that may start per second
     * @param concurrentLoads the number of concurrent loads that the store serves at full speed
     */
    public record WeightStoreLimits(double loadsPerSecond, int concurrentLoads) {}

    /**
     * A request class and its latency objectives.
     *
     * @param id its name
     * @param firstTokenMillis the time from arrival to the first token, or to the response head for
     *     a plain service
     * @param betweenTokensMillis the mean time between tokens
     * @param totalMillis the time from arrival to the end of the response; also the deadline
     * @param weight its weight against the other classes at a busy target, above 0
     * @param queueLimit the maximum number of requests of the class queued at one target
     */
    public record RequestClass(
            RequestClassId id,
            long firstTokenMillis,
            long betweenTokensMillis,
            long totalMillis,
            int weight,
            int queueLimit) {}

    /**
     * A model.
     *
     * @param id its name
     * @param version the version to load
     * @param memoryMebibytes the accelerator memory that its weights need
     */
    public record Model(ModelId id, String version, long memoryMebibytes) {}

    /**
     * An adapter of a base model.
     *
     * @param id its name
     * @param base its base model
     * @param version the version to load
     * @param memoryMebibytes the accelerator memory that its weights need
     */
    public record Adapter(AdapterId id, ModelId base, String version, long memoryMebibytes) {}

    /**
     * A plain service.
     *
     * @param id its name
     * @param repeatableMethods the HTTP methods whose calls may be executed more than once
     */
    public record Service(ServiceId id, Set<String> repeatableMethods) {

        /** Copies the set. */
        public Service {
            repeatableMethods = Set.copyOf(repeatableMethods);
        }
    }

    /** The kind of a target: a model engine or an instance of a plain service. */
    public enum TargetKind {
        ENGINE,
        SERVICE
    }

    /**
     * A target.
     *
     * @param id its name
     * @param kind engine or plain service
     * @param host the host it runs on
     * @param dataCentre the host's data centre
     * @param endpoint the IP address and port of the engine or service
     * @param concurrency the maximum number of requests it runs concurrently
     * @param accelerators its accelerators; none for a plain service
     * @param checksFencing whether the engine refuses orders with an old fencing number
     * @param service the plain service it is an instance of; empty for an engine
     */
    public record Target(
            TargetId id,
            TargetKind kind,
            HostId host,
            DataCentreId dataCentre,
            String endpoint,
            int concurrency,
            List<Accelerator> accelerators,
            boolean checksFencing,
            Optional<ServiceId> service) {

        /** Copies the list. */
        public Target {
            accelerators = List.copyOf(accelerators);
        }
    }

    /**
     * An accelerator of a target.
     *
     * @param id its name
     * @param memoryMebibytes its memory
     * @param cacheMebibytes the part of its memory reserved for the KV cache
     */
    public record Accelerator(AcceleratorId id, long memoryMebibytes, long cacheMebibytes) {}

    /**
     * A client account, created from a template and its parameters.
     *
     * @param id its name
     * @param template the template it was created from
     * @param keyHashes the SHA-256 hashes, in hexadecimal, of the keys that authenticate the
     *     account
     * @param models the models it may use
     * @param adapters the adapters it may use
     * @param services the plain services it may use
     * @param classes the request classes it may use
     * @param defaultClass the class of a request that names none
     * @param idempotentByDefault whether a model request without an idempotency setting may be
     *     executed more than once
     * @param share its weight against other accounts within a class, above 0
     * @param cap the maximum number of its requests running concurrently at one target
     * @param ratePerSecond the maximum number of requests per second that one entry daemon admits
     *     for it
     * @param queueLimit the maximum number of its requests queued at one target
     */
    public record ClientAccount(
            ClientAccountId id,
            TemplateId template,
            List<String> keyHashes,
            Set<ModelId> models,
            Set<AdapterId> adapters,
            Set<ServiceId> services,
            Set<RequestClassId> classes,
            RequestClassId defaultClass,
            boolean idempotentByDefault,
            int share,
            int cap,
            double ratePerSecond,
            int queueLimit) {

        /** Copies the collections. */
        public ClientAccount {
            keyHashes = List.copyOf(keyHashes);
            models = Set.copyOf(models);
            adapters = Set.copyOf(adapters);
            services = Set.copyOf(services);
            classes = Set.copyOf(classes);
        }
    }
}
