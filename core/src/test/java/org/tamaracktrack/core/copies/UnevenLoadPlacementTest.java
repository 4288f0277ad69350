package org.tamaracktrack.core.copies;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
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
 * Covers placement on engines of different speeds, and patient requests for rare models that
 * compete with urgent requests. Moves take no time. An engine holds three models.
 */
class UnevenLoadPlacementTest {
    private static final long NOW = 100_000;
    private static final double SATURATION_RATE = 12;
    private static final int MAX_MOVES = 200;
    private static final ModelId HOT = ModelId.of("hot");

    private static ModelId model(String kind, int number) {
        return ModelId.of(kind + number);
    }

    private static TargetIncarnation engine(String name) {
        return new TargetIncarnation(TargetId.of(name), 0);
    }

    private static final class Fleet {
        private final Map<TargetIncarnation, Set<ModelId>> held = new LinkedHashMap<>();
        private final Set<ModelId> models = new HashSet<>();
        private final Map<ModelId, Double> rates = new HashMap<>();
        private final Map<ModelId, Double> urgentRates = new HashMap<>();
        private final Map<ModelId, Integer> waiting = new HashMap<>();
        private final Map<TargetIncarnation, Double> workFactors = new HashMap<>();
        private boolean admissionControl;

        void add(TargetIncarnation engine, List<ModelId> loaded) {
            held.put(engine, new HashSet<>(loaded));
            models.addAll(loaded);
        }

        void urgent(ModelId model, double perSecond) {
            models.add(model);
            rates.put(model, perSecond);
            urgentRates.put(model, perSecond);
        }

        void patient(ModelId model, double weightedPerSecond, int waitingRequests) {
            models.add(model);
            rates.put(model, weightedPerSecond);
            waiting.put(model, waitingRequests);
        }

        private EngineTracker tracker(Set<ModelId> loaded) {
            EngineTracker tracker = EngineTracker.of(TargetEntries.HOME);
            List<HeldModel> replicas =
                    loaded.stream()
                            .map(model -> new HeldModel(model, Set.of()))
                            .collect(Collectors.toList());
            tracker.applyReport(
                    new EngineReport(
                            0,
                            false,
                            0,
                            0,
                            TargetEntry.indexByModel(replicas),
                            Set.of(),
                            Set.of(),
                            models),
                    0);
            return tracker;
        }

        private ReplicaPlanner.View view() {
            Map<TargetIncarnation, EngineTracker> engines = new LinkedHashMap<>();
            held.forEach((engine, loaded) -> engines.put(engine, tracker(loaded)));
            Map<ModelId, ModelSpecification> specifications =
                    models.stream()
                            .collect(
                                    Collectors.toMap(
                                            Function.identity(),
                                            model ->
                                                    new ModelSpecification(
                                                            model, 70, 8_600, 800, 1_700, 1,
                                                            List.of())));
            return new ReplicaPlanner.View(
                    new EngineSpecification(64, 220, 8, 1.4, specifications),
                    engines,
                    rates,
                    rates,
                    waiting,
                    model ->
                            urgentRates.containsKey(model)
                                    ? DemandUrgency.URGENT
                                    : DemandUrgency.PATIENT,
                    true,
                    true,
                    SATURATION_RATE,
                    workFactors,
                    admissionControl,
                    urgentRates,
                    NOW);
        }

        Optional<ReplicaPlanner.Move> next() {
            return ReplicaPlanner.next(view());
        }

        /** Carries out moves until none is worthwhile, and returns them. */
        List<ReplicaPlanner.Move> settle(int maxMoves) {
            List<ReplicaPlanner.Move> moves = new ArrayList<>();
            Optional<ReplicaPlanner.Move> move = next();
            while (move.isPresent() && moves.size() < maxMoves) {
                moves.add(move.get());
                Set<ModelId> loaded = held.get(move.get().engine());
                move.get().victim().ifPresent(loaded::remove);
                loaded.add(move.get().model());
                waiting.remove(move.get().model());
                move = next();
            }
            return moves;
        }

        Set<TargetIncarnation> enginesOf(ModelId model) {
            return held.entrySet().stream()
                    .filter(entry -> entry.getValue().contains(model))
                    .map(Map.Entry::getKey)
                    .collect(Collectors.toSet());
        }

        long loadedModels(String kind, int count) {
            return IntStream.range(0, count)
                    .filter(number -> !enginesOf(model(kind, number)).isEmpty())
                    .count();
        }

        double lateRate(ModelId model, Map<TargetIncarnation, Double> trueFactors) {
            Map<ModelId, List<TargetIncarnation>> replicas = new HashMap<>();
            held.forEach(
                    (engine, loaded) ->
                            loaded.forEach(
                                    name ->
                                            replicas.computeIfAbsent(name, key -> new ArrayList<>())
                                                    .add(engine)));
            return EngineLoads.of(replicas, rates, SATURATION_RATE, trueFactors).lateRate(model);
        }
    }

    /** Three engine speeds and one busy model that is loaded on one engine of usual speed. */
    @Nested
    class EngineSpeeds {
        private final Map<TargetIncarnation, Double> trueFactors =
                Map.of(
                        engine("slow0"), 1.6,
                        engine("slow1"), 1.6,
                        engine("usual0"), 1.0,
                        engine("usual1"), 1.0,
                        engine("fast0"), 0.6,
                        engine("fast1"), 0.6);

        private Fleet fleet(Map<TargetIncarnation, Double> knownFactors) {
            Fleet fleet = new Fleet();
            List.of("slow0", "slow1", "usual1", "fast0", "fast1")
                    .forEach(name -> fleet.add(engine(name), List.of()));
            fleet.add(engine("usual0"), List.of(HOT));
            fleet.urgent(HOT, 30);
            fleet.workFactors.putAll(knownFactors);
            return fleet;
        }

        // Guards against a busy model on the slowest engines while the fastest are idle.
        @Test
        void shouldPlaceABusyModelOnFastEnginesFirstWhenSpeedsAreKnown() {
            List<TargetIncarnation> order =
                    fleet(trueFactors).settle(2).stream()
                            .map(ReplicaPlanner.Move::engine)
                            .collect(Collectors.toList());

            assertThat(order).containsExactly(engine("fast0"), engine("fast1"));
        }

        @Test
        void shouldAnswerMoreRequestsInTimeThanWhenSpeedsAreIgnored() {
            Fleet known = fleet(trueFactors);
            known.settle(2);
            Fleet ignored = fleet(Map.of());
            ignored.settle(2);

            assertThat(known.lateRate(HOT, trueFactors))
                    .isLessThan(0.5 * ignored.lateRate(HOT, trueFactors));
        }

        // Guards against engines without a report that are taken for fast or for slow ones.
        @Test
        void shouldCountAnEngineAsOfUsualSpeedWhenItsFactorIsUnknown() {
            Map<TargetIncarnation, Double> partly =
                    Map.of(
                            engine("slow0"), 1.6,
                            engine("slow1"), 1.6,
                            engine("fast1"), 0.6);
            List<TargetIncarnation> order =
                    fleet(partly).settle(3).stream()
                            .map(ReplicaPlanner.Move::engine)
                            .collect(Collectors.toList());

            assertThat(order.get(0)).isEqualTo(engine("fast1"));
            assertThat(order.subList(1, 3)).containsExactly(engine("usual1"), engine("fast0"));
        }
    }

    /** A patient burst on 36 rare models while 8 models carry 193 urgent requests per second. */
    @Nested
    class PatientBurst {
        private static final int ENGINES = 28;
        private static final int URGENT_MODELS = 8;
        private static final int RARE_MODELS = 36;
        private static final int FORMER_MODELS = 12;
        private static final int FREE_SLOTS = 4;
        private final Fleet fleet = new Fleet();

        PatientBurst() {
            for (int number = 0; number < ENGINES; number++) {
                List<ModelId> loaded = new ArrayList<>();
                loaded.add(model("urgent", number % URGENT_MODELS));
                loaded.add(model("urgent", (number + 3) % URGENT_MODELS));
                if (number < FORMER_MODELS) {
                    loaded.add(model("former", number));
                } else if (number < ENGINES - FREE_SLOTS) {
                    loaded.add(model("urgent", (number + 5) % URGENT_MODELS));
                }
                fleet.add(engine("engine" + number), loaded);
            }
            urgentRate(193.0 / URGENT_MODELS);
            for (int number = 0; number < RARE_MODELS; number++) {
                fleet.patient(model("rare", number), 0.6, 3);
            }
            fleet.admissionControl = true;
        }

        private void urgentRate(double perSecond) {
            for (int number = 0; number < URGENT_MODELS; number++) {
                fleet.urgent(model("urgent", number), perSecond);
            }
        }

        private boolean isUrgent(ModelId model) {
            return fleet.urgentRates.containsKey(model);
        }

        private List<ModelId> displacedUrgent(List<ReplicaPlanner.Move> moves) {
            return moves.stream()
                    .flatMap(move -> move.victim().stream())
                    .filter(this::isUrgent)
                    .collect(Collectors.toList());
        }

        // Guards against waiting patient requests that displace replicas of busy models one by one.
        @Test
        void shouldKeepTheReplicasOfUrgentModelsAndUseWhatIsFree() {
            List<ReplicaPlanner.Move> moves = fleet.settle(MAX_MOVES);

            assertThat(displacedUrgent(moves)).isEmpty();
            assertThat(fleet.loadedModels("rare", RARE_MODELS))
                    .isAtLeast((long) FORMER_MODELS + FREE_SLOTS);
        }

        @Test
        void shouldDisplaceReplicasOfUrgentModelsWithoutAdmissionControl() {
            fleet.admissionControl = false;

            assertThat(displacedUrgent(fleet.settle(MAX_MOVES))).isNotEmpty();
        }

        // Guards against patient requests that wait although the replicas of urgent models have
        // hardly any requests.
        @Test
        void shouldDisplaceAReplicaWhenTheOthersTakeItsRequestsInTime() {
            urgentRate(2);

            List<ReplicaPlanner.Move> moves = fleet.settle(MAX_MOVES);

            assertThat(displacedUrgent(moves)).isNotEmpty();
            for (int number = 0; number < URGENT_MODELS; number++) {
                assertThat(fleet.enginesOf(model("urgent", number))).isNotEmpty();
            }
        }

        // Guards against rare models that keep engines after the burst, when urgent demand grows.
        @Test
        void shouldGiveEnginesBackToUrgentModelsAtTheEndOfTheBurst() {
            fleet.settle(MAX_MOVES);
            long rareInBurst = fleet.loadedModels("rare", RARE_MODELS);
            for (int number = 0; number < RARE_MODELS; number++) {
                fleet.patient(model("rare", number), 0, 0);
            }
            fleet.waiting.clear();
            fleet.urgent(model("urgent", 0), 100);

            fleet.settle(MAX_MOVES);

            assertThat(fleet.loadedModels("rare", RARE_MODELS)).isLessThan(rareInBurst);
        }

        // Guards against a further replica for patient requests while urgent requests are late.
        @Test
        void shouldCountPatientDemandLessWhileUrgentRequestsAreLate() {
            ModelId rare = model("rare", 0);
            fleet.patient(rare, 20, 0);
            fleet.held.get(engine("engine27")).add(rare);
            ReplicaValue late = value(true);
            ReplicaValue ignored = value(false);

            assertThat(late.spreadGain(rare, engine("engine26"), 0))
                    .isLessThan(0.6 * ignored.spreadGain(rare, engine("engine26"), 0));
            assertThat(late.spreadGain(model("urgent", 0), engine("engine26"), 0))
                    .isEqualTo(ignored.spreadGain(model("urgent", 0), engine("engine26"), 0));
        }

        private ReplicaValue value(boolean admissionControl) {
            fleet.admissionControl = admissionControl;
            ReplicaPlanner.View view = fleet.view();
            return ReplicaValue.of(view, ReplicaIndex.of(view.engines()).replicas());
        }
    }

    // Guards against other placements in deployments whose engines report no speed.
    @Property(tries = 100, seed = "31")
    void shouldChooseTheSameMoveWhenAllFactorsAreOneAsWithoutFactors(@ForAll long seed) {
        Random random = new Random(seed);
        Fleet fleet = new Fleet();
        int modelCount = 4 + random.nextInt(12);
        for (int number = 0; number < modelCount; number++) {
            fleet.urgent(model("m", number), random.nextInt(3) * 15 * random.nextDouble());
        }
        int engineCount = 2 + random.nextInt(8);
        for (int number = 0; number < engineCount; number++) {
            fleet.add(
                    engine("engine" + number),
                    IntStream.range(0, random.nextInt(4))
                            .mapToObj(slot -> model("m", random.nextInt(modelCount)))
                            .collect(Collectors.toList()));
        }
        Optional<ReplicaPlanner.Move> without = fleet.next();
        fleet.held.keySet().forEach(engine -> fleet.workFactors.put(engine, 1.0));

        assertThat(fleet.next()).isEqualTo(without);
    }
}
