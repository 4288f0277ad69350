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
import org.tamaracktrack.core.id.SoftwareVersion;
import org.tamaracktrack.core.id.TargetId;
import org.tamaracktrack.core.stream.StreamOrigin;

class TargetSelectorTest {
    private static final long NOW = 10_000;

    private final TargetSelector selector = TargetSelector.of(TargetEntries.HOME);
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

    private static DispatchRequest request(PromptPart... parts) {
        return DispatchRequest.of(
                TargetEntries.ENGINES,
                Optional.of(TargetEntries.need("model")),
                1_460,
                List.of(parts));
    }

    private Optional<String> select(DispatchRequest request, List<TargetId> tried) {
        return selector.select(
                        request,
                        fleet,
                        name -> loads.computeIfAbsent(name, any -> new TargetLoad()),
                        tried,
                        NOW,
                        () -> 0)
                .map(choice -> choice.entry().incarnation().target().value());
    }

    @Nested
    class IdleTargets {

        @Test
        void shouldSelectOwnDataCentreWhenAllTargetsAreIdle() {
            assertThat(select(request(), List.of())).hasValue("near");
        }

        @Test
        void shouldSelectNothingWhenAllCandidatesWereTried() {
            assertThat(select(request(), List.of(TargetId.of("near"), TargetId.of("far"))))
                    .isEmpty();
        }
    }

    @Nested
    class OutdatedReports {
        private static final long LATER = NOW + 600;

        @Test
        void shouldBeOutdatedWhenNoAnswerIsOnItsWay() {
            load("near").recordReport(ReportedLoad.of(4, 9), NOW);

            assertThat(load("near").hasOutdatedReport(NOW + 100)).isFalse();
            assertThat(load("near").hasOutdatedReport(LATER)).isTrue();
        }

        // Guards against all daemons' held requests being sent at once instead of one each.
        @Test
        void shouldNotBeOutdatedWhileARequestOfThisDaemonIsThere() {
            load("near").recordReport(ReportedLoad.of(4, 9), NOW);
            load("near").recordSent(100, LATER);

            assertThat(load("near").hasOutdatedReport(LATER)).isFalse();
        }

        @Test
        void shouldNotBeOutdatedWhenAPeerPassesOnANewerReport() {
            load("near").recordReport(ReportedLoad.of(4, 9), NOW);
            load("near").recordRelayedReport(ReportedLoad.of(1, 0), 20, LATER);

            assertThat(load("near").hasOutdatedReport(LATER)).isFalse();
        }

        @Test
        void shouldNotBeOutdatedWhenTheTargetNeverReported() {
            assertThat(load("near").hasOutdatedReport(LATER)).isFalse();
        }
    }

    @Nested
    class SilentTargets {

        @Test
        void shouldSelectOtherTargetWhenOneIsSilent() {
            load("near").recordSilence(NOW - 500);

            assertThat(select(request(), List.of())).hasValue("far");
        }

        // Guards against requests that are refused because the only target was silent for a moment.
        @Test
        void shouldSelectSilentTargetWhenThereIsNoOther() {
            load("near").recordSilence(NOW - 500);

            assertThat(select(request(), List.of(TargetId.of("far")))).hasValue("near");
        }

        @Test
        void shouldSelectTargetAgainWhenItHasSentSomething() {
            load("near").recordSilence(NOW - 500);
            load("near").recordContact(NOW - 10);

            assertThat(select(request(), List.of())).hasValue("near");
        }

        @Test
        void shouldTryTargetAgainWhenItIsSilentForLong() {
            load("near").recordSilence(NOW - 2_500);

            assertThat(select(request(), List.of())).hasValue("near");
        }
    }

    @Nested
    class SoftwareVersions {
        private final FleetSnapshot versions =
                TargetEntries.fleet(
                        TargetEntries.engineAt("v1", "old", TargetEntries.AWAY, "model"),
                        TargetEntries.engineAt("v2", "new", TargetEntries.HOME, "model"));

        private DispatchRequest continuing(String version) {
            return request()
                    .continuing(
                            new StreamOrigin(TargetEntries.ENGINES, SoftwareVersion.of(version)));
        }

        private Optional<String> selectFor(DispatchRequest request) {
            return selector.select(
                            request, versions, name -> new TargetLoad(), List.of(), NOW, () -> 0)
                    .map(selection -> selection.entry().version().value());
        }

        @Test
        void shouldSelectAnyVersionWhenStreamIsNew() {
            assertThat(selectFor(request())).hasValue("v2");
        }

        // Guards against a stream that joins what two software versions wrote.
        @Test
        void shouldSelectOnlyVersionThatBeganWhenStreamContinues() {
            assertThat(selectFor(continuing("v1"))).hasValue("v1");
        }

        @Test
        void shouldSelectNothingWhenVersionThatBeganIsGone() {
            assertThat(selectFor(continuing("v0"))).isEmpty();
        }
    }

    @Nested
    class LoadedTargets {

        // Guards against requests that are late because they wait at an overloaded engine while one
        // in another data centre is idle.
        @Test
        void shouldSelectOtherDataCentreWhenPromptsQueueUp() {
            load("near").recordSent(3_000, NOW);

            assertThat(select(request(), List.of())).hasValue("far");
        }

        @Test
        void shouldSelectTargetWithCachedPromptPart() {
            PromptPart shared = new PromptPart("part", 1_460);
            load("far").recordCachedParts("model", List.of(shared));
            load("near").recordSent(1_000, NOW);

            assertThat(select(request(shared), List.of())).hasValue("far");
        }

        // Guards against a daemon with many callers that opens more connections to one target than
        // its share, which the target resets.
        @Test
        void shouldSelectAnotherTargetWhenOwnRequestsReachTheMaximum() {
            load("near").recordSent(10, NOW);
            load("near").recordSent(10, NOW);

            assertThat(selectBelow(3)).hasValue("near");
            assertThat(selectBelow(2)).hasValue("far");
        }

        private Optional<String> selectBelow(int maximumOwnRequests) {
            return selector.select(
                            request(),
                            fleet,
                            name -> loads.computeIfAbsent(name, any -> new TargetLoad()),
                            List.of(),
                            entry -> maximumOwnRequests,
                            NOW,
                            () -> 0)
                    .map(choice -> choice.entry().incarnation().target().value());
        }

        // Another daemon sends long prompts to the near engine. This daemon has no information
        // about them, but its streams there stall, and a further prompt would delay all of them.
        @Test
        void shouldAvoidEngineWhenItsStreamsStall() {
            for (long millis = 1; millis <= 50; millis++) {
                load("near").recordStreamEvent(30, NOW - 2_000 + 30 * millis);
            }
            load("near").recordStreamEvent(400, NOW);
            load("near").recordStreamEvent(400, NOW);

            assertThat(select(request(), List.of())).hasValue("far");
        }

        // Guards against requests that are refused although an engine would start them immediately.
        @Test
        void shouldNotAddCrowdingToExpectedFirstPieceTime() {
            int slots = TargetEntries.engine("near", TargetEntries.HOME, "model").slots();
            load("near").recordReport(ReportedLoad.of(slots, 0), NOW);

            TargetSelector.Selection choice =
                    selector.select(
                                    request(),
                                    fleet,
                                    name -> loads.computeIfAbsent(name, any -> new TargetLoad()),
                                    List.of(TargetId.of("far")),
                                    NOW,
                                    () -> 0)
                            .orElseThrow();

            assertThat(choice.firstPieceMillis()).isLessThan(600.0);
            assertThat(choice.cost()).isGreaterThan(choice.firstPieceMillis());
        }

        // Guards against an engine that looks idle because it fails requests while its health check
        // passes.
        @Test
        void shouldAvoidTargetWhenItsAnswersFail() {
            for (int count = 0; count < 3; count++) {
                load("near").recordOutcome(true, NOW);
            }

            assertThat(select(request(), List.of())).hasValue("far");
        }

        @Test
        void shouldSelectTargetAgainWhenItsFailuresAreOld() {
            load("near").recordOutcome(true, NOW - 60_000);

            assertThat(select(request(), List.of())).hasValue("near");
        }

        // Guards against requests that are sent to an ended target every second until the registry
        // drops it.
        @Test
        void shouldAvoidTargetForLongerWhenItHasEnded() {
            load("near").recordTargetEnd(NOW - 5_000);
            load("near").recordConnectionFailure(NOW - 2_000);

            assertThat(select(request(), List.of())).hasValue("far");
        }

        @Test
        void shouldAvoidTargetWhenItWasUnreachable() {
            load("near").recordConnectionFailure(NOW - 10);

            assertThat(select(request(), List.of())).hasValue("far");
        }
    }
}
