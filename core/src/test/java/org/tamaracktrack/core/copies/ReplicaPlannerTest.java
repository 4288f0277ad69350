package org.tamaracktrack.core.copies;

import static com.google.common.truth.Truth.assertThat;

import java.util.Arrays;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.tamaracktrack.core.fleet.HeldModel;
import org.tamaracktrack.core.fleet.TargetEntries;
import org.tamaracktrack.core.fleet.TargetEntry;
import org.tamaracktrack.core.fleet.TargetIncarnation;
import org.tamaracktrack.core.id.ModelId;
import org.tamaracktrack.core.id.TargetId;
import org.tamaracktrack.core.route.EngineSpecification;
import org.tamaracktrack.core.route.ModelSpecification;

/**
 * Covers demand in which a few models receive most requests and these models change within seconds,
 * while many others are rarely requested. An engine holds three models.
 */
class ReplicaPlannerTest {
    private static final long NOW = 100_000;
    private static final double MODEL_MEGABYTES = 70;
    private static final double ENGINE_MEGABYTES = 220;

    private final Map<TargetIncarnation, EngineTracker> engines = new LinkedHashMap<>();
    private final Map<ModelId, Double> rates = new HashMap<>();
    private final Map<ModelId, Integer> waiting = new HashMap<>();
    private final Map<ModelId, DemandUrgency> demandUrgency = new HashMap<>();
    private boolean demandSettled = true;
    private boolean storeLoadAllowed = true;
    private double saturationRate = 12;
    private int urgencyLookups;

    private EngineTracker engine(String name, List<String> locallyAvailable, String... models) {
        EngineTracker tracker = EngineTracker.of(TargetEntries.HOME);
        List<HeldModel> held =
                Arrays.stream(models)
                        .map(model -> new HeldModel(ModelId.of(model), Set.of()))
                        .collect(Collectors.toList());
        Set<ModelId> onDisk =
                Stream.concat(locallyAvailable.stream(), Arrays.stream(models))
                        .map(ModelId::of)
                        .collect(Collectors.toSet());
        tracker.applyReport(
                new EngineReport(
                        0, false, 0, 0, TargetEntry.indexByModel(held), Set.of(), Set.of(), onDisk),
                0);
        engines.put(new TargetIncarnation(TargetId.of(name), 0), tracker);
        return tracker;
    }

    private Optional<ReplicaPlanner.Move> next() {
        Map<ModelId, ModelSpecification> models =
                Stream.of("hot", "warm", "rare", "other", "silent", "new")
                        .map(ModelId::of)
                        .collect(
                                Collectors.toMap(
                                        model -> model,
                                        model ->
                                                new ModelSpecification(
                                                        model,
                                                        MODEL_MEGABYTES,
                                                        8_600,
                                                        800,
                                                        1_700,
                                                        1,
                                                        List.of())));
        return ReplicaPlanner.next(
                new ReplicaPlanner.View(
                        new EngineSpecification(64, ENGINE_MEGABYTES, 8, 1.4, models),
                        engines,
                        rates,
                        rates,
                        waiting,
                        model -> {
                            urgencyLookups++;
                            return demandUrgency.getOrDefault(model, DemandUrgency.URGENT);
                        },
                        demandSettled,
                        storeLoadAllowed,
                        saturationRate,
                        Map.of(),
                        false,
                        Map.of(),
                        NOW));
    }

    private void rate(String model, double perSecond) {
        rates.put(ModelId.of(model), perSecond);
    }

    @Nested
    class Demand {

        @Test
        void shouldAddAReplicaOfTheBusiestModelWhenAnEngineHasItLocally() {
            engine("one", List.of(), "hot", "warm", "other");
            engine("two", List.of("hot"), "silent", "rare", "warm");
            rate("hot", 15);
            rate("warm", 3);
            rate("rare", 0.2);

            ReplicaPlanner.Move move = next().orElseThrow();

            assertThat(move.model()).isEqualTo(ModelId.of("hot"));
            assertThat(move.engine().target()).isEqualTo(TargetId.of("two"));
            assertThat(move.victim()).isEqualTo(Optional.of(ModelId.of("silent")));
            assertThat(move.order().load()).isFalse();
        }

        // Guards against demand that stays on too few engines when engines run few requests at the
        // same time. The planner assumed the same capacity for all engines.
        @Test
        void shouldAddAReplicaSoonerWhenEngineCapacityIsLower() {
            engine("one", List.of(), "hot", "other", "silent");
            engine("two", List.of("hot"), "warm", "rare", "silent");
            engine("three", List.of(), "new", "warm", "rare");
            rate("hot", 2.5);
            rate("warm", 1);
            rate("rare", 0.5);
            rate("other", 0.1);

            assertThat(next().map(ReplicaPlanner.Move::model))
                    .isNotEqualTo(Optional.of(ModelId.of("hot")));

            saturationRate = 3;
            assertThat(next().map(ReplicaPlanner.Move::model))
                    .isEqualTo(Optional.of(ModelId.of("hot")));
        }

        // Guards against spending all concurrent loads on a model that already has a replica while
        // an equally requested one has none.
        @Test
        void shouldLoadTheModelWithoutAReplicaFirstWhenTwoAreEquallyBusy() {
            engine("one", List.of(), "hot", "other", "silent");
            engine("two", List.of("hot", "warm"), "other", "silent");
            rate("hot", 25);
            rate("warm", 25);

            assertThat(next().orElseThrow().model()).isEqualTo(ModelId.of("warm"));
        }

        // Guards against unloading replicas that were placed in advance when, in the first second
        // of demand, the busiest model has received hardly any request.
        @Test
        void shouldKeepReplicasPlacedInAdvanceWhenDemandHasJustBegun() {
            engine("one", List.of("rare"), "hot", "other", "silent");
            engine("two", List.of("rare"), "hot", "warm", "new");
            rate("hot", 0.1);
            waiting.put(ModelId.of("rare"), 1);
            demandSettled = false;

            assertThat(next().flatMap(ReplicaPlanner.Move::victim))
                    .isNotEqualTo(Optional.of(ModelId.of("hot")));
        }

        @Test
        void shouldMoveNothingWhenDemandIsEven() {
            engine("one", List.of(), "hot", "warm", "other");
            engine("two", List.of("hot"), "silent", "rare", "new");
            rate("hot", 1);
            rate("warm", 1);
            rate("rare", 1);

            assertThat(next()).isEmpty();
        }

        // Guards against every engine unloading models for the same load. Planning again before
        // the load began did not count it, and all other models were unloaded.
        @Test
        void shouldCountAModelAsIncomingWhenMemoryIsReservedForIt() {
            EngineTracker one = engine("one", List.of("rare"), "hot", "other", "silent");
            engine("two", List.of("rare"), "hot", "other", "silent");
            waiting.put(ModelId.of("rare"), 1);
            ReplicaPlanner.Move first = next().orElseThrow();
            EngineTracker chosen = engines.get(first.engine());
            chosen.beginOrder(first.order());
            chosen.reserveFor(first.model());

            assertThat(next().filter(move -> move.model().equals(ModelId.of("rare")))).isEmpty();
            assertThat(one).isNotNull();
        }

        // Guards against all engines loading a model that a single request waits for. Pending
        // orders did not count, so each engine with free memory received one and was unavailable
        // to other models.
        @Test
        void shouldLoadAModelOnceWhenSeveralEnginesHaveMemoryForIt() {
            engine("one", List.of("rare"), "hot");
            engine("two", List.of("rare"), "hot");
            waiting.put(ModelId.of("rare"), 1);
            ReplicaPlanner.Move first = next().orElseThrow();
            engines.get(first.engine()).beginOrder(first.order());

            assertThat(next().filter(move -> move.model().equals(ModelId.of("rare")))).isEmpty();
        }

        // Guards against unloading both replicas of a model in one pass, each because the other
        // exists, when requests wait for two other models. The next request for the model then
        // found no replica.
        @Test
        void shouldKeepOneReplicaWhenTwoCouldBeUnloadedInOnePass() {
            engine("one", List.of("rare"), "silent", "hot", "warm");
            engine("two", List.of("other"), "silent", "hot", "warm");
            rate("hot", 20);
            rate("warm", 20);
            rate("silent", 3);
            waiting.put(ModelId.of("rare"), 1);
            waiting.put(ModelId.of("other"), 1);
            ReplicaPlanner.Move first = next().orElseThrow();
            assertThat(first.victim()).isEqualTo(Optional.of(ModelId.of("silent")));
            EngineTracker tracker = engines.get(first.engine());
            tracker.beginOrder(first.order());
            tracker.reserveFor(first.model());

            assertThat(next().flatMap(ReplicaPlanner.Move::victim))
                    .isNotEqualTo(Optional.of(ModelId.of("silent")));
        }

        // Guards against displacing the models to which demand moves next, when requests that can
        // wait use one rare model after another. These models have to displace each other.
        @Test
        void shouldDisplaceAModelOfPatientRequestsBeforeOneThatWasNeverRequested() {
            engine("one", List.of("rare"), "new", "other", "hot");
            demandUrgency.put(ModelId.of("new"), DemandUrgency.NONE);
            demandUrgency.put(ModelId.of("other"), DemandUrgency.PATIENT);
            waiting.put(ModelId.of("rare"), 1);
            rate("hot", 2);

            assertThat(next().orElseThrow().victim()).isEqualTo(Optional.of(ModelId.of("other")));
        }

        @Test
        void shouldLoadAModelThatNoEngineHasLocallyWhenDemandIsLow() {
            engine("one", List.of("hot", "warm", "rare", "other", "new"), "hot", "warm");
            demandUrgency.put(ModelId.of("silent"), DemandUrgency.NONE);

            assertThat(next().orElseThrow().model()).isEqualTo(ModelId.of("silent"));
        }
    }

    @Nested
    class EngineSelection {

        // Guards against refused requests for a busy model while another engine is nearly idle
        // because it holds the only replicas of rarely requested models. One of these has to move
        // to an engine with free memory first, so that it always has a replica.
        @Test
        void shouldRelocateAnOnlyReplicaBeforeItIsUnloaded() {
            engine("busy", List.of(), "hot", "warm", "other");
            engine("idle", List.of("hot"), "rare", "silent", "new");
            engine("spacious", List.of("rare", "silent", "new"), "hot", "other");
            rate("hot", 30);
            rate("rare", 1);
            rate("silent", 1);
            rate("new", 1);

            ReplicaPlanner.Move move = next().orElseThrow();

            assertThat(move.victim()).isEmpty();
            assertThat(move.engine().target()).isEqualTo(TargetId.of("spacious"));
        }

        // Guards against a relocation that exceeds the weight store's rate: no store load is
        // allowed, and the engine with free memory does not have the rare model locally.
        @Test
        void shouldNotRelocateAnOnlyReplicaWhenNoStoreLoadIsAllowed() {
            engine("busy", List.of(), "hot", "warm", "other");
            engine("idle", List.of("hot"), "rare", "silent", "new");
            engine("spacious", List.of(), "hot", "other");
            rate("hot", 30);
            rate("rare", 1);
            rate("silent", 1);
            rate("new", 1);
            storeLoadAllowed = false;

            Optional<ReplicaPlanner.Move> move = next();

            assertThat(
                            move.filter(
                                    chosen ->
                                            chosen.engine()
                                                    .target()
                                                    .equals(TargetId.of("spacious"))))
                    .isEmpty();
        }

        // Guards against placing a further replica on a loaded engine. Of two equally busy models
        // one engine holds both and another holds none, and both engines have memory.
        @Test
        void shouldPlaceAFurtherReplicaOnTheLeastLoadedEngine() {
            engine("one", List.of(), "hot", "warm", "other");
            engine("two", List.of("hot"), "warm", "other");
            engine("three", List.of("hot"), "other", "silent");
            rate("hot", 20);
            rate("warm", 20);

            assertThat(next().orElseThrow().engine().target()).isEqualTo(TargetId.of("three"));
        }
    }

    @Nested
    class Memory {

        // Guards against ordering an engine to hold more than fits, which makes it crash. It still
        // holds a model that the configuration no longer contains, whose memory was counted as
        // zero.
        @Test
        void shouldNotLoadNextToAModelThatIsNotConfigured() {
            engine("one", List.of("hot"), "dropped");
            rate("hot", 15);

            Optional<ReplicaPlanner.Move> move = next();

            assertThat(move.filter(chosen -> chosen.victim().isEmpty())).isEmpty();
        }
    }

    @Nested
    class Cost {

        // Guards against computing the loss of a replica for each pair of engine and model. This
        // took most of a pass: 14 ms for 36 engines, ten times per second, on hosts with a quarter
        // of a core.
        @Test
        void shouldValueEachHeldReplicaOnceRegardlessOfTheNumberOfRequestedModels() {
            int count = 40;
            for (int index = 0; index < count; index++) {
                engine("engine" + index, List.of(), "hot", "warm", "other");
            }
            rate("hot", 100);
            rate("rare", 100);
            rate("new", 100);

            next();

            int lookupsForModels = 6;
            assertThat(urgencyLookups).isAtMost(lookupsForModels + 3 * count);
        }
    }

    /**
     * Covers demand that moves to other models while many others are rarely requested, by requests
     * that can wait.
     */
    @Nested
    class PatientRequests {

        private void addLoadingEngine(String name, String model) {
            EngineTracker tracker = engine(name, List.of());
            tracker.beginOrder(
                    new PlacementOrder(
                            new TargetIncarnation(TargetId.of(name), 0),
                            true,
                            ModelId.of(model),
                            Optional.empty()));
            tracker.orderAccepted(NOW - 1_000);
        }

        private void addPatientRequests(String model) {
            waiting.put(ModelId.of(model), 3);
            demandUrgency.put(ModelId.of(model), DemandUrgency.PATIENT);
            rate(model, 0.3);
        }

        // Guards against engines that all load rarely requested models for seconds, while a model
        // with many urgent requests stays on a few engines.
        @Test
        void shouldReserveEnginesForUrgentRequestsWhenEnoughLoadForPatientOnes() {
            addLoadingEngine("loading", "other");
            demandUrgency.put(ModelId.of("other"), DemandUrgency.PATIENT);
            engine("idle", List.of());
            engine("third", List.of(), "hot");
            addPatientRequests("rare");

            assertThat(next().map(ReplicaPlanner.Move::model))
                    .isNotEqualTo(Optional.of(ModelId.of("rare")));

            rate("hot", 40);
            assertThat(next().map(ReplicaPlanner.Move::model))
                    .isEqualTo(Optional.of(ModelId.of("hot")));
        }

        @Test
        void shouldLoadForPatientRequestsWhenNoOtherEngineDoes() {
            engine("idle", List.of());
            engine("third", List.of(), "hot");
            addPatientRequests("rare");

            assertThat(next().map(ReplicaPlanner.Move::model))
                    .isEqualTo(Optional.of(ModelId.of("rare")));
        }

        // A load from disk takes less than two seconds, so it does not count against the limit.
        @Test
        void shouldLoadForPatientRequestsWhenTheModelIsLocallyAvailable() {
            addLoadingEngine("loading", "other");
            demandUrgency.put(ModelId.of("other"), DemandUrgency.PATIENT);
            engine("idle", List.of("rare"));
            addPatientRequests("rare");

            assertThat(next().map(ReplicaPlanner.Move::model))
                    .isEqualTo(Optional.of(ModelId.of("rare")));
        }
    }
}
