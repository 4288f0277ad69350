package org.tamaracktrack.bench.slope;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
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
import org.tamaracktrack.core.id.RequestClassId;
import org.tamaracktrack.core.id.TargetId;
import org.tamaracktrack.core.message.Message;
import org.tamaracktrack.core.placement.Layout;
import org.tamaracktrack.core.placement.ModelDemand;
import org.tamaracktrack.core.placement.PlacementKind;
import org.tamaracktrack.core.placement.PlanningView;
import org.tamaracktrack.core.placement.TargetStatus;

/**
 * Creates configurations, states and messages of a given size, in the proportions of the largest
 * size that the system is designed for: 600 engines with 8 accelerators each, and 1,100 models with
 * two adapters each.
 *
 * @param targets the number of engines
 * @param models the number of models
 */
record Fleet(int targets, int models) {
    static final RequestClassId INTERACTIVE = RequestClassId.of("interactive");
    private static final int ACCELERATORS_PER_TARGET = 8;

    static ModelId model(int index) {
        return ModelId.of("model-" + index);
    }

    static TargetId target(int index) {
        return TargetId.of("runner-" + index);
    }

    Configuration configuration() {
        return new Configuration(
                1,
                new Configuration.WeightStoreLimits(1e6, 1_000_000),
                600_000,
                Map.of(),
                byId(
                        models,
                        index -> new Configuration.Model(model(index), "1", 8_000),
                        Configuration.Model::id),
                byId(
                        2 * models,
                        index ->
                                new Configuration.Adapter(
                                        AdapterId.of("adapter-" + index),
                                        model(index % models),
                                        "1",
                                        128),
                        Configuration.Adapter::id),
                Map.of(),
                byId(targets, Fleet::engine, Configuration.Target::id),
                Map.of());
    }

    private static Configuration.Target engine(int index) {
        List<Configuration.Accelerator> accelerators =
                IntStream.range(0, ACCELERATORS_PER_TARGET)
                        .mapToObj(
                                acceleratorIndex ->
                                        new Configuration.Accelerator(
                                                AcceleratorId.of("a" + acceleratorIndex),
                                                24_000,
                                                6_000))
                        .toList();
        return new Configuration.Target(
                target(index),
                Configuration.TargetKind.ENGINE,
                HostId.of("host-" + index),
                DataCentreId.of("dc-" + index % 6),
                "127.0.0.1:1",
                32,
                accelerators,
                true,
                Optional.empty());
    }

    private static <K, V> Map<K, V> byId(int count, IntFunction<V> factory, Function<V, K> id) {
        return IntStream.range(0, count)
                .mapToObj(factory)
                .collect(Collectors.toUnmodifiableMap(id, Function.identity()));
    }

    /** Returns a view in which every model has demand and all planned copies are resident. */
    PlanningView view(Configuration configuration, Layout layout, long nowMillis) {
        Map<TargetId, TargetStatus> statuses = new HashMap<>();
        for (int index = 0; index < targets; index++) {
            TargetId target = target(index);
            Set<ModelId> resident =
                    layout.copiesOn(target).stream()
                            .map(copy -> copy.model())
                            .collect(Collectors.toSet());
            Set<AdapterId> adapters =
                    layout.copiesOn(target).stream()
                            .flatMap(copy -> copy.adapters().stream())
                            .collect(Collectors.toSet());
            statuses.put(target, new TargetStatus(true, false, 8, 0, resident, adapters, Set.of()));
        }
        return new PlanningView(nowMillis, configuration, statuses, demand());
    }

    private Map<ModelId, ModelDemand> demand() {
        Map<ModelId, ModelDemand> demand = new HashMap<>();
        for (int index = 0; index < models; index++) {
            double slots = index % 20 == 0 ? 40 : 4;
            demand.put(model(index), new ModelDemand(slots / 2, slots, slots));
        }
        return demand;
    }

    /** Returns the layout that the default policy plans when no copy exists. */
    Layout layout(Configuration configuration) {
        Layout layout = Layout.of(configuration, List.of());
        PlacementKind.HYSTERESIS
                .policy()
                .orElseThrow()
                .improve(layout, view(configuration, layout, 0));
        return layout;
    }

    static Message.Load loadReport(int index, int residentModels) {
        List<ModelId> models = new ArrayList<>();
        List<AdapterId> adapters = new ArrayList<>();
        for (int modelIndex = 0; modelIndex < residentModels; modelIndex++) {
            models.add(model(index * residentModels + modelIndex));
            adapters.add(AdapterId.of("adapter-" + 2 * modelIndex));
            adapters.add(AdapterId.of("adapter-" + (2 * modelIndex + 1)));
        }
        return new Message.Load(
                target(index),
                1_000,
                false,
                8,
                3,
                Map.of(INTERACTIVE, 120L, RequestClassId.of("batch"), 4_000L),
                models,
                adapters,
                List.of());
    }
}
