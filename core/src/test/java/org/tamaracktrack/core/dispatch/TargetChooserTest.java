package org.tamaracktrack.core.dispatch;

import static com.google.common.truth.Truth.assertThat;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.tamaracktrack.core.fleet.FleetSnapshot;
import org.tamaracktrack.core.fleet.TargetEntries;
import org.tamaracktrack.core.fleet.TargetIncarnation;
import org.tamaracktrack.core.id.TargetId;

class TargetChooserTest {
    private static final long NOW = 10_000;

    private final TargetChooser chooser = TargetChooser.of(TargetEntries.HOME);
    private final Map<TargetIncarnation, TargetLoad> loads = new HashMap<>();
    private final FleetSnapshot fleet =
            TargetEntries.fleet(
                    TargetEntries.engine("near", TargetEntries.HOME, "model"),
                    TargetEntries.engine("far", TargetEntries.AWAY, "model"),
                    TargetEntries.engine("without", TargetEntries.HOME, "other"));

    private TargetLoad load(String target) {
        return loads.computeIfAbsent(
                new TargetIncarnation(TargetId.of(target), 0), name -> new TargetLoad());
    }

    private static Work work(PromptPart... parts) {
        return new Work(
                TargetEntries.ENGINES,
                Optional.of(TargetEntries.need("model")),
                1_460,
                List.of(parts));
    }

    private Optional<String> choose(Work work, List<TargetId> tried) {
        return chooser.choose(
                        work,
                        fleet,
                        name -> loads.computeIfAbsent(name, any -> new TargetLoad()),
                        tried,
                        NOW,
                        () -> 0)
                .map(choice -> choice.entry().incarnation().target().value());
    }

    @Nested
    class Calm {

        @Test
        void shouldStayInTheOwnDataCentreWhenNeitherIsBusy() {
            assertThat(choose(work(), List.of())).hasValue("near");
        }

        @Test
        void shouldChooseNobodyWhenEveryHolderHasHadTheRequest() {
            assertThat(choose(work(), List.of(TargetId.of("near"), TargetId.of("far")))).isEmpty();
        }
    }

    @Nested
    class Busy {

        // Requests come faster than one engine reads prompts. The far engine is idle; staying near
        // would make every request late.
        @Test
        void shouldGoToTheOtherDataCentreWhenPromptsPileUp() {
            load("near").started(3_000, NOW);

            assertThat(choose(work(), List.of())).hasValue("far");
        }

        @Test
        void shouldGoWhereThePromptWasReadWhenLoadsAreEqual() {
            PromptPart shared = new PromptPart("part", 1_460);
            load("far").remember("model", List.of(shared));
            load("near").started(1_000, NOW);

            assertThat(choose(work(shared), List.of())).hasValue("far");
        }

        // Another daemon sends long prompts to the near engine. This daemon does not know them, but
        // its streams there stall; a prompt more would make all of them late.
        @Test
        void shouldAvoidAnEngineWhoseStreamsStall() {
            for (long millis = 1; millis <= 50; millis++) {
                load("near").event(30, NOW - 2_000 + 30 * millis);
            }
            load("near").event(400, NOW);
            load("near").event(400, NOW);

            assertThat(choose(work(), List.of())).hasValue("far");
        }

        // Guards against requests that are refused although an engine would begin them at once.
        @Test
        void shouldNotTakeACrowdedEngineForOneThatBeginsLate() {
            int slots = TargetEntries.engine("near", TargetEntries.HOME, "model").slots();
            load("near").report(new ReportedLoad(slots, 0), NOW);

            TargetChooser.Choice choice =
                    chooser.choose(
                                    work(),
                                    fleet,
                                    name -> loads.computeIfAbsent(name, any -> new TargetLoad()),
                                    List.of(TargetId.of("far")),
                                    NOW,
                                    () -> 0)
                            .orElseThrow();

            assertThat(choice.firstPieceMillis()).isLessThan(600.0);
            assertThat(choice.cost()).isGreaterThan(choice.firstPieceMillis());
        }

        // An engine fails part of its requests though its health is good, and so looks idle.
        @Test
        void shouldAvoidATargetWhenItsAnswersFail() {
            for (int count = 0; count < 3; count++) {
                load("near").answered(true, NOW);
            }

            assertThat(choose(work(), List.of())).hasValue("far");
        }

        @Test
        void shouldTryATargetAgainWhenItsFailuresAreOld() {
            load("near").answered(true, NOW - 60_000);

            assertThat(choose(work(), List.of())).hasValue("near");
        }

        // Guards against requests that try a target that has ended, second after second, until the
        // registry drops it.
        @Test
        void shouldAvoidATargetForLongerWhenItHasEnded() {
            load("near").gone(NOW - 5_000);
            load("near").unreachable(NOW - 2_000);

            assertThat(choose(work(), List.of())).hasValue("far");
        }

        @Test
        void shouldAvoidATargetWhenItCouldNotBeReached() {
            load("near").unreachable(NOW - 10);

            assertThat(choose(work(), List.of())).hasValue("far");
        }
    }
}
