package org.tamaracktrack.core.placement;

import java.util.List;
import java.util.Map;
import java.util.Optional;
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

/** Creates configurations of targets of equal size and models of equal size. */
final class PlacementFixture {
    static final long MODEL_MEBIBYTES = 1_000;
    static final long ADAPTER_MEBIBYTES = 10;

    private PlacementFixture() {}

    static ModelId model(int index) {
        return ModelId.of("model-" + index);
    }

    static TargetId target(int index) {
        return TargetId.of("runner-" + index);
    }

    /**
     * Returns a configuration.
     *
     * @param targets the number of targets, spread over three data centres
     * @param modelsPerTarget how many models with their adapters fit on each target
     * @param models the number of models, each with one adapter
     * @param moveCost the cost of a move
     */
    static Configuration configuration(
            int targets, int modelsPerTarget, int models, double moveCost) {
        return new Configuration(
                moveCost,
                new Configuration.WeightStoreLimits(1.4, 11),
                60_000,
                Map.of(),
                byId(
                        models,
                        index -> new Configuration.Model(model(index), "1", MODEL_MEBIBYTES),
                        Configuration.Model::id),
                byId(
                        models,
                        index ->
                                new Configuration.Adapter(
                                        AdapterId.of("adapter-" + index),
                                        model(index),
                                        "1",
                                        ADAPTER_MEBIBYTES),
                        Configuration.Adapter::id),
                Map.of(),
                byId(targets, index -> target(index, modelsPerTarget), Configuration.Target::id),
                Map.of());
    }

    private static Configuration.Target target(int index, int modelsPerTarget) {
        return new Configuration.Target(
                target(index),
                Configuration.TargetKind.ENGINE,
                HostId.of("host-" + index),
                DataCentreId.of("quito-" + index % 3),
                "127.0.0.1:1",
                8,
                List.of(
                        new Configuration.Accelerator(
                                AcceleratorId.of("a0"),
                                modelsPerTarget * (MODEL_MEBIBYTES + ADAPTER_MEBIBYTES) + 500,
                                500)),
                true,
                Optional.empty());
    }

    private static <K, V> Map<K, V> byId(int count, IntFunction<V> make, Function<V, K> id) {
        return IntStream.range(0, count)
                .mapToObj(make)
                .collect(Collectors.toMap(id, value -> value));
    }
}
