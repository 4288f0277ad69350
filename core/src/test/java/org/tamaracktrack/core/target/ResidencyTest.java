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

class ResidencyTest {
    private static final TargetId HERE = TargetId.of("t1");
    private static final TargetId ELSEWHERE = TargetId.of("t2");
    private static final AcceleratorId ACCELERATOR = AcceleratorId.of("a0");
    private static final AdapterId ADAPTER = AdapterId.of("x");
    private static final long CAPACITY = 100;
    private static final int MODELS = 6;

    // What the plan places here may be the last copy of its model, and a copy in use has callers
    // reading its answers: neither is unloaded, whatever else is wanted. And nothing is loaded
    // beyond what is free.
    @Property(seed = "161803", tries = 2_000)
    void shouldKeepHomesAndWhatIsInUseWhenAnythingIsWanted(@ForAll long schedule) {
        Random random = new Random(schedule);
        Given given = new Given();
        for (int index = 0; index < MODELS; index++) {
            long size = 10 + random.nextInt(40);
            given.model(index, size, "1");
            if (given.used + size <= CAPACITY && random.nextBoolean()) {
                given.resident(index, size, "1");
            }
            if (random.nextInt(3) == 0) {
                given.placed(index, random.nextBoolean() ? HERE : ELSEWHERE);
            }
            if (random.nextInt(3) == 0) {
                given.unmet.add(need(index));
            }
            if (given.isResident(index) && random.nextInt(3) == 0) {
                given.inUse.add(need(index));
            }
        }

        ResidencyDecision decision = Residency.decide(given.view(random.nextBoolean()));

        decision.changes().stream()
                .filter(change -> change.kind() == OrderKind.UNLOAD_MODEL)
                .forEach(
                        change -> {
                            assertThat(given.homes(HERE)).doesNotContain(change.model());
                            assertThat(given.inUse).doesNotContain(Need.of(change.model()));
                        });
        long loads =
                decision.changes().stream()
                        .filter(change -> change.kind().isLoad())
                        .mapToLong(Change::mebibytes)
                        .sum();
        assertThat(loads).isAtMost(CAPACITY - given.used);
    }

    @Nested
    class Plans {

        @Test
        void shouldLoadWhatIsPlacedHereWhenItIsMissing() {
            Given given = new Given();
            given.model(0, 40, "1");
            given.placed(0, HERE);

            Change load = only(given);

            assertThat(load.kind()).isEqualTo(OrderKind.LOAD_MODEL);
            assertThat(load.cause()).isEqualTo("home");
        }

        // Unloading what a plan no longer names would cost a move now, and another if demand comes
        // back before the room is needed.
        @Test
        void shouldKeepAnUnplacedCopyWhenItsRoomIsNotNeeded() {
            Given given = new Given();
            given.model(0, 40, "1");
            given.resident(0, 40, "1");
            given.placed(0, ELSEWHERE);

            assertThat(Residency.decide(given.view(true)).changes()).isEmpty();
        }

        @Test
        void shouldGiveUpTheCopyWithAHomeElsewhereWhenRoomIsNeeded() {
            Given given = new Given();
            IntStream.range(0, 3).forEach(index -> given.model(index, 50, "1"));
            given.resident(0, 50, "1");
            given.resident(1, 50, "1");
            given.placed(1, ELSEWHERE);
            given.placed(2, HERE);

            Change unload = only(given);

            assertThat(unload.kind()).isEqualTo(OrderKind.UNLOAD_MODEL);
            assertThat(unload.model()).isEqualTo(model(1));
        }

        @Test
        void shouldLoadAdaptersWhenTheirBaseIsReady() {
            Given given = new Given();
            given.model(0, 40, "1");
            given.resident(0, 40, "1");
            given.placedWithAdapter(0);

            assertThat(only(given).kind()).isEqualTo(OrderKind.LOAD_ADAPTER);
        }
    }

    @Nested
    class Versions {

        // Requests run on the old version while the new one is published. An unload now would cut
        // their answers; nothing new starts, and the old version goes when they have ended.
        @Test
        void shouldHoldBackAndWaitWhenTheOldVersionIsInUse() {
            Given given = new Given();
            given.model(0, 40, "2");
            given.resident(0, 40, "1");
            given.inUse.add(need(0));

            ResidencyDecision decision = Residency.decide(given.view(true));

            assertThat(decision.changes()).isEmpty();
            assertThat(decision.heldBack()).containsExactly(model(0));
        }

        @Test
        void shouldUnloadTheOldVersionWhenItIsIdle() {
            Given given = new Given();
            given.model(0, 40, "2");
            given.resident(0, 40, "1");

            assertThat(only(given).cause()).isEqualTo("version");
        }

        // Both homes would otherwise drop the old version at the same moment, and the model would
        // be nowhere until the new one is loaded.
        @Test
        void shouldWaitForItsTurnWhenAnotherHomeChangesFirst() {
            Given given = new Given();
            given.model(0, 40, "2");
            given.resident(0, 40, "1");
            given.placed(0, HERE);
            given.placed(0, TargetId.of("t0"));

            assertThat(Residency.decide(given.view(true)).changes()).isEmpty();
            given.configuredForMillis = 10_000;
            assertThat(only(given).kind()).isEqualTo(OrderKind.UNLOAD_MODEL);
        }
    }

    private static Change only(Given given) {
        List<Change> changes = Residency.decide(given.view(true)).changes();
        assertThat(changes).hasSize(1);
        return changes.get(0);
    }

    private static ModelId model(int index) {
        return ModelId.of("m" + index);
    }

    private static Need need(int index) {
        return Need.of(model(index));
    }

    private static final class Given {
        private final Map<ModelId, Configuration.Model> models = new HashMap<>();
        private final List<EngineInventory.ModelState> copies = new ArrayList<>();
        private final List<LogEntry.Placement> placements = new ArrayList<>();
        private final Set<Need> unmet = new HashSet<>();
        private final Set<Need> inUse = new HashSet<>();
        private long used;
        private long configuredForMillis;

        void model(int index, long mebibytes, String version) {
            ModelId id = ResidencyTest.model(index);
            models.put(id, new Configuration.Model(id, version, mebibytes));
        }

        void resident(int index, long mebibytes, String version) {
            used += mebibytes;
            copies.add(
                    new EngineInventory.ModelState(
                            ResidencyTest.model(index),
                            version,
                            ACCELERATOR,
                            mebibytes,
                            EngineInventory.Residence.READY,
                            List.of()));
        }

        boolean isResident(int index) {
            return copies.stream()
                    .anyMatch(copy -> copy.model().equals(ResidencyTest.model(index)));
        }

        void placed(int index, TargetId target) {
            placements.add(
                    new LogEntry.Placement(ResidencyTest.model(index), target, List.of(), "home"));
        }

        void placedWithAdapter(int index) {
            placements.add(
                    new LogEntry.Placement(
                            ResidencyTest.model(index), HERE, List.of(ADAPTER), "home"));
        }

        Set<ModelId> homes(TargetId target) {
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
                            new Configuration.Adapter(ADAPTER, ResidencyTest.model(0), "1", 5)),
                    Map.of(),
                    Map.of(),
                    Map.of());
        }
    }
}
