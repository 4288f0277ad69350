package org.tamaracktrack.bench.trace;

import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.function.Function;
import java.util.function.IntFunction;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.tamaracktrack.core.config.Configuration;
import org.tamaracktrack.core.id.AcceleratorId;
import org.tamaracktrack.core.id.AdapterId;
import org.tamaracktrack.core.id.DataCentreId;
import org.tamaracktrack.core.id.HostId;
import org.tamaracktrack.core.id.ModelId;
import org.tamaracktrack.core.id.TargetId;

/** The two users with the current sizes of their sites. */
public enum TraceUser {
    CEVALLOS(26, 64, 11),
    KTIMATOLOGOS(21, 77, 16);

    /** The number of requests that an engine runs concurrently. */
    static final int SLOTS_PER_ENGINE = 16;

    /** The duration of a request in seconds. */
    static final double SECONDS_PER_REQUEST = 2;

    private static final int ENGINES = 8;
    private static final int ACCELERATORS_PER_ENGINE = 2;
    private static final long ACCELERATOR_MEBIBYTES = 24_000;
    private static final long CACHE_MEBIBYTES = 6_000;
    private static final double LOADS_PER_SECOND = 1.4;

    private final int models;
    private final int adapters;
    private final int concurrentLoads;

    TraceUser(int models, int adapters, int concurrentLoads) {
        this.models = models;
        this.adapters = adapters;
        this.concurrentLoads = concurrentLoads;
    }

    /**
     * Returns the request rate that all engines can serve together.
     *
     * @return requests per second
     */
    static double capacityPerSecond() {
        return ENGINES * SLOTS_PER_ENGINE / SECONDS_PER_REQUEST;
    }

    /**
     * Returns the number of accelerators of all engines together.
     *
     * @return the number of accelerators
     */
    static int acceleratorCount() {
        return ENGINES * ACCELERATORS_PER_ENGINE;
    }

    /**
     * Returns a configuration with sizes of models and adapters drawn from a seed.
     *
     * @param seed the seed of the random numbers
     * @param moveCost the cost of one load or unload, in requests served within the objective
     * @return the configuration
     */
    Configuration configuration(long seed, double moveCost) {
        Random random = new Random(seed);
        Map<ModelId, Configuration.Model> modelsById =
                byId(
                        models,
                        index ->
                                new Configuration.Model(
                                        modelId(index), "1", 4_000 + 1_000L * random.nextInt(5)),
                        Configuration.Model::id);
        Map<AdapterId, Configuration.Adapter> adaptersById =
                byId(
                        adapters,
                        index ->
                                new Configuration.Adapter(
                                        AdapterId.of("adapter-" + index),
                                        modelId(index % models),
                                        "1",
                                        64L * (1 + random.nextInt(3))),
                        Configuration.Adapter::id);
        return new Configuration(
                moveCost,
                new Configuration.WeightStoreLimits(LOADS_PER_SECOND, concurrentLoads),
                60_000,
                Map.of(),
                modelsById,
                adaptersById,
                Map.of(),
                byId(ENGINES, TraceUser::engine, Configuration.Target::id),
                Map.of());
    }

    private static ModelId modelId(int index) {
        return ModelId.of("model-" + index);
    }

    private static Configuration.Target engine(int index) {
        List<Configuration.Accelerator> accelerators =
                IntStream.range(0, ACCELERATORS_PER_ENGINE)
                        .mapToObj(
                                acceleratorIndex ->
                                        new Configuration.Accelerator(
                                                AcceleratorId.of("a" + acceleratorIndex),
                                                ACCELERATOR_MEBIBYTES,
                                                CACHE_MEBIBYTES))
                        .toList();
        return new Configuration.Target(
                TargetId.of("runner-" + index),
                Configuration.TargetKind.ENGINE,
                HostId.of("host-" + index),
                DataCentreId.of("dc-" + index % 3),
                "127.0.0.1:1",
                SLOTS_PER_ENGINE,
                accelerators,
                true,
                Optional.empty());
    }

    private static <K, V> Map<K, V> byId(int count, IntFunction<V> factory, Function<V, K> id) {
        return IntStream.range(0, count)
                .mapToObj(factory)
                .collect(Collectors.toUnmodifiableMap(id, Function.identity()));
    }

    /**
     * Returns the name in lower case.
     *
     * @return the name
     */
    String text() {
        return name().toLowerCase(Locale.ROOT);
    }
}
