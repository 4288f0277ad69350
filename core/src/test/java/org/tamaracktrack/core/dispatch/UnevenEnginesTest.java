package org.tamaracktrack.core.dispatch;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/**
 * Simulates engines of which some take almost three times as long for the same work, and all of
 * which are slowed by other programs for short intervals.
 */
class UnevenEnginesTest {
    private static final long DURATION_MILLIS = 12_000;
    private static final int SEEDS = 2;
    private static final long EXCHANGE_MILLIS = 30;

    /**
     * The engines are fast enough together, so that much of what is late follows from the choice.
     */
    private static final double MAX_LATE_RATIO = 2.0 / 3;

    private static final List<Double> WORK_FACTORS = List.of(0.6, 1.0, 1.6);

    private static final SimulatedFleet.Machines SILENT =
            new SimulatedFleet.Machines(WORK_FACTORS, true, false);

    private static double inTimeShare(double requestsPerSecond, SimulatedFleet.Machines machines) {
        SimulatedFleet.Parameters parameters =
                new SimulatedFleet.Parameters(
                        24, 30, 3, 64, 8, 3, requestsPerSecond, EXCHANGE_MILLIS, machines);
        return IntStream.range(0, SEEDS)
                .mapToObj(seed -> SimulatedFleet.simulate(parameters, DURATION_MILLIS, seed))
                .mapToDouble(SimulatedFleet.Outcome::shareInTime)
                .average()
                .orElseThrow();
    }

    private static void assertFewerLateWhenReported(double requestsPerSecond) {
        double lateShare = 1 - inTimeShare(requestsPerSecond, SILENT);

        assertThat(1 - inTimeShare(requestsPerSecond, SILENT.reporting()))
                .isLessThan(MAX_LATE_RATIO * lateShare);
    }

    // Guards against equal numbers of requests at engines that differ in speed.
    @Test
    void shouldAnswerMoreRequestsInTimeWhenWorkTimesAreReportedUnderUsualLoad() {
        assertFewerLateWhenReported(4.5);
    }

    // Guards against work that slow engines get although faster ones could take it.
    @Test
    void shouldAnswerMoreRequestsInTimeWhenWorkTimesAreReportedUnderHeavyLoad() {
        assertFewerLateWhenReported(6);
    }
}
