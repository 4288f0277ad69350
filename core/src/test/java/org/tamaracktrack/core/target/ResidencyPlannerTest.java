package org.tamaracktrack.core.target;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.tamaracktrack.core.admission.Need;
import org.tamaracktrack.core.config.Configuration;
import org.tamaracktrack.core.id.AcceleratorId;
import org.tamaracktrack.core.id.AdapterId;
import org.tamaracktrack.core.id.IncarnationId;
import org.tamaracktrack.core.id.ModelId;
import org.tamaracktrack.core.id.TargetId;
import org.tamaracktrack.core.log.LogEntry;

class ResidencyPlannerTest {
    private static final TargetId HERE = TargetId.of("t1");
    private static final TargetId ELSEWHERE = TargetId.of("t2");
    private static final AcceleratorId ACCELERATOR = AcceleratorId.of("a0");
    private static final AdapterId ADAPTER = AdapterId.of("x");
    private static final long CAPACITY = 100;
    private static final int MODELS = 6;

    // A placed model may be the only copy, and a model in use has requests running: neither may be
    // unloaded. Loads may not exceed the free memory.
    @Property(seed = "161803", tries = 2_000)
    void shouldNotUnloadPlacedModelsOrModelsInUseWhenChangesAreRequested(@ForAll long schedule) {
        Random random = new Random(schedule);
        Scenario scenario = new Scenario();
        for (int index = 0; index < MODELS; index++) {
            long size = 10 + random.nextInt(40);
            scenario.configureModel(index, size, "1");
            if (scenario.used + size <= CAPACITY && random.nextBoolean()) {
                scenario.addResident(index, size, "1");
            }
            if (random.nextInt(3) == 0) {
                scenario.place(index, random.nextBoolean() ? HERE : ELSEWHERE);
            }
            if (random.nextInt(3) == 0) {
                scenario.unmet.add(need(index));
            }
            if (scenario.isResident(index) && random.nextInt(3) == 0) {
                scenario.inUse.add(need(index));
            }
        }

        ResidencyDecision decision = ResidencyPlanner.decide(scenario.view(random.nextBoolean()));

        decision.changes().stream()
                .filter(change -> change.kind() == OrderKind.UNLOAD_MODEL)
                .forEach(
                        change -> {
                            assertThat(scenario.modelsPlacedOn(HERE))
                                    .doesNotContain(change.model());
                            assertThat(scenario.inUse).doesNotContain(Need.of(change.model()));
                        });
        long loads =
                decision.changes().stream()
                        .filter(change -> change.kind().isLoad())
                        .mapToLong(ResidencyChange::mebibytes)
                        .sum();
        assertThat(loads).isAtMost(CAPACITY - scenario.used);
    }

    @Nested
    class Placements {

        @Test
        void shouldLoadTheModelWhenItIsPlacedHereAndMissing() {
            Scenario scenario = new Scenario();
            scenario.configureModel(0, 40, "1");
            scenario.place(0, HERE);

            ResidencyChange load = onlyChange(scenario);

            assertThat(load.kind()).isEqualTo(OrderKind.LOAD_MODEL);
            assertThat(load.cause()).isEqualTo("home");
        }

        // Unloading a copy that is no longer placed costs a move now, and another one if demand
        // returns before its memory is needed.
        @Test
        void shouldKeepAnUnplacedCopyWhenItsRoomIsNotNeeded() {
            Scenario scenario = new Scenario();
            scenario.configureModel(0, 40, "1");
            scenario.addResident(0, 40, "1");
            scenario.place(0, ELSEWHERE);

            assertThat(ResidencyPlanner.decide(scenario.view(true)).changes()).isEmpty();
        }

        @Test
        void shouldUnloadTheCopyThatIsPlacedElsewhereWhenRoomIsNeeded() {
            Scenario scenario = new Scenario();
            IntStream.range(0, 3).forEach(index -> scenario.configureModel(index, 50, "1"));
            scenario.addResident(0, 50, "1");
            scenario.addResident(1, 50, "1");
            scenario.place(1, ELSEWHERE);
            scenario.place(2, HERE);

            ResidencyChange unload = onlyChange(scenario);

            assertThat(unload.kind()).isEqualTo(OrderKind.UNLOAD_MODEL);
            assertThat(unload.model()).isEqualTo(model(1));
        }

        @Test
        void shouldLoadAdaptersWhenTheirBaseIsReady() {
            Scenario scenario = new Scenario();
            scenario.configureModel(0, 40, "1");
            scenario.addResident(0, 40, "1");
            scenario.placeWithAdapter(0);

            assertThat(onlyChange(scenario).kind()).isEqualTo(OrderKind.LOAD_ADAPTER);
        }
    }

    @Nested
    class Versions {

        // Requests run on the old version when a new one is published. An immediate unload would
        // cut their answers; no new requests are started, and the old version is unloaded when they
        // have ended.
        @Test
        void shouldHoldBackNewRequestsWhenTheOldVersionIsInUse() {
            Scenario scenario = new Scenario();
            scenario.configureModel(0, 40, "2");
            scenario.addResident(0, 40, "1");
            scenario.inUse.add(need(0));

            ResidencyDecision decision = ResidencyPlanner.decide(scenario.view(true));

            assertThat(decision.changes()).isEmpty();
            assertThat(decision.heldBack()).containsExactly(model(0));
        }

        @Test
        void shouldUnloadTheOldVersionWhenItIsIdle() {
            Scenario scenario = new Scenario();
            scenario.configureModel(0, 40, "2");
            scenario.addResident(0, 40, "1");

            assertThat(onlyChange(scenario).cause()).isEqualTo("version");
        }

        // If both targets unloaded the old version at the same time, the model would be unavailable
        // until the new version is loaded.
        @Test
        void shouldWaitWhenAnotherTargetReplacesTheVersionFirst() {
            Scenario scenario = new Scenario();
            scenario.configureModel(0, 40, "2");
            scenario.addResident(0, 40, "1");
            scenario.place(0, HERE);
            scenario.place(0, TargetId.of("t0"));

            assertThat(ResidencyPlanner.decide(scenario.view(true)).changes()).isEmpty();
            scenario.configuredForMillis = 10_000;
            assertThat(onlyChange(scenario).kind()).isEqualTo(OrderKind.UNLOAD_MODEL);
        }
    }

    private static ResidencyChange onlyChange(Scenario scenario) {
        List<ResidencyChange> changes = ResidencyPlanner.decide(scenario.view(true)).changes();
        assertThat(changes).hasSize(1);
        return changes.get(0);
    }

    private static ModelId model(int index) {
        return ModelId.of("m" + index);
    }

    private static Need need(int index) {
        return Need.of(model(index));
    }

    private static final class Scenario {
        private final Map<ModelId, Configuration.Model> models = new HashMap<>();
        private final List<EngineInventory.ModelState> copies = new ArrayList<>();
        private final List<LogEntry.Placement> placements = new ArrayList<>();
        private final Set<Need> unmet = new HashSet<>();
        private final Set<Need> inUse = new HashSet<>();
        private long used;
        private long configuredForMillis;

        void configureModel(int index, long mebibytes, String version) {
            ModelId id = ResidencyPlannerTest.model(index);
            models.put(id, new Configuration.Model(id, version, mebibytes));
        }

        void addResident(int index, long mebibytes, String version) {
            used += mebibytes;
            copies.add(
                    new EngineInventory.ModelState(
                            ResidencyPlannerTest.model(index),
                            version,
                            ACCELERATOR,
                            mebibytes,
                            EngineInventory.Residence.READY,
                            List.of()));
        }

        boolean isResident(int index) {
            return copies.stream()
                    .anyMatch(copy -> copy.model().equals(ResidencyPlannerTest.model(index)));
        }

        void place(int index, TargetId target) {
            placements.add(
                    new LogEntry.Placement(
                            ResidencyPlannerTest.model(index), target, List.of(), "home"));
        }

        void placeWithAdapter(int index) {
            placements.add(
                    new LogEntry.Placement(
                            ResidencyPlannerTest.model(index), HERE, List.of(ADAPTER), "home"));
        }

        Set<ModelId> modelsPlacedOn(TargetId target) {
            return placements.stream()
                    .filter(placement -> placement.target().equals(target))
                    .map(LogEntry.Placement::model)
                    .collect(Collectors.toSet());
        }

        ResidencyView view(boolean mayMove) {
            return new ResidencyView(
                    HERE,
                    configuration(),
                    configuredForMillis,
                    Optional.of(
                            new LogEntry.PlanPublished(IncarnationId.of("p"), 0, 0, placements)),
                    new EngineInventory(
                            1,
                            "serve",
                            List.of(
                                    new EngineInventory.AcceleratorState(
                                            ACCELERATOR, CAPACITY, used)),
                            copies,
                            List.of()),
                    Map.of(ACCELERATOR, CAPACITY - used),
                    List.of(),
                    unmet,
                    inUse,
                    mayMove,
                    Map.of());
        }

        private Configuration configuration() {
            return new Configuration(
                    1,
                    new Configuration.WeightStoreLimits(1, 1),
                    1,
                    Map.of(),
                    models,
                    Map.of(
                            ADAPTER,
                            new Configuration.Adapter(
                                    ADAPTER, ResidencyPlannerTest.model(0), "1", 5)),
                    Map.of(),
                    Map.of(),
                    Map.of());
        }
    }
}
