package org.tamaracktrack.core.copies;

import static com.google.common.truth.Truth.assertThat;

import java.util.Map;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.tamaracktrack.core.fleet.TargetIncarnation;
import org.tamaracktrack.core.id.TargetId;

/** Covers daemons that report the work factors of engines to the holder of the duty. */
class EngineWorkFactorsTest {
    private static final TargetIncarnation ENGINE = new TargetIncarnation(TargetId.of("one"), 1);
    private static final TargetIncarnation NEXT_RUN = new TargetIncarnation(TargetId.of("one"), 2);

    @Nested
    class AtTheHolder {
        private final EngineWorkFactors factors = EngineWorkFactors.empty();

        @Test
        void shouldUseTheLastReportOfAnIncarnation() {
            factors.record(Map.of(ENGINE, 1.6), 0);
            factors.record(Map.of(ENGINE, 0.6), 100);

            assertThat(factors.current(100)).containsExactly(ENGINE, 0.6);
            assertThat(factors.current(100)).doesNotContainKey(NEXT_RUN);
        }

        @Test
        void shouldForgetAFactorAfter30SecondsWithoutAReport() {
            factors.record(Map.of(ENGINE, 1.6), 0);

            assertThat(factors.current(30_000)).containsExactly(ENGINE, 1.6);
            assertThat(factors.current(30_001)).isEmpty();
        }

        // Guards against division by zero, and against an engine that a false report makes
        // infinitely fast.
        @ParameterizedTest
        @ValueSource(doubles = {0, -1, 1_000_000, Double.NaN, Double.POSITIVE_INFINITY})
        void shouldIgnoreAFalseFactor(double factor) {
            factors.record(Map.of(ENGINE, 1.6), 0);
            factors.record(Map.of(ENGINE, factor), 0);

            assertThat(factors.current(0)).containsExactly(ENGINE, 1.6);
        }

        @Test
        void shouldLimitAnExtremeFactor() {
            factors.record(Map.of(ENGINE, 0.01, NEXT_RUN, 90.0), 0);

            assertThat(factors.current(0)).containsExactly(ENGINE, 0.2, NEXT_RUN, 5.0);
        }

        @Test
        void shouldForgetAllFactorsWhenTheHolderChanges() {
            factors.record(Map.of(ENGINE, 1.6), 0);
            factors.clear();

            assertThat(factors.current(0)).isEmpty();
        }
    }

    @Nested
    class AtTheReportingDaemon {
        private final WorkFactorReports reports = WorkFactorReports.empty();

        @Test
        void shouldReportARoundedFactorWhenItChanges() {
            assertThat(reports.take(Map.of(ENGINE, 1.58), 0)).containsExactly(ENGINE, 1.6);
            assertThat(reports.isDue(Map.of(ENGINE, 1.61), 1_000)).isFalse();
            assertThat(reports.take(Map.of(ENGINE, 1.61), 1_000)).isEmpty();
            assertThat(reports.take(Map.of(ENGINE, 1.63), 2_000)).containsExactly(ENGINE, 1.65);
        }

        @Test
        void shouldRepeatAnUnchangedFactorAfter10Seconds() {
            reports.take(Map.of(ENGINE, 1.0), 0);

            assertThat(reports.isDue(Map.of(ENGINE, 1.0), 9_999)).isFalse();
            assertThat(reports.take(Map.of(ENGINE, 1.0), 10_000)).containsExactly(ENGINE, 1.0);
        }

        @Test
        void shouldReportAllFactorsAgainWhenTheHolderChanges() {
            reports.take(Map.of(ENGINE, 1.0), 0);
            reports.clear();

            assertThat(reports.take(Map.of(ENGINE, 1.0), 1)).containsExactly(ENGINE, 1.0);
        }

        // Guards against records that grow with the number of targets.
        @Test
        void shouldReportEachOf150FactorsOnceInThreeReports() {
            Map<TargetIncarnation, Double> factors =
                    IntStream.range(0, 150)
                            .mapToObj(number -> TargetId.of("engine" + number))
                            .collect(
                                    Collectors.toMap(
                                            target -> new TargetIncarnation(target, 0),
                                            target -> 1.6));

            assertThat(reports.take(factors, 0)).hasSize(64);
            assertThat(reports.take(factors, 1_000)).hasSize(64);
            assertThat(reports.take(factors, 2_000)).hasSize(22);
            assertThat(reports.isDue(factors, 3_000)).isFalse();
        }
    }
}
