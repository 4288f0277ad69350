package org.tamaracktrack.core.dispatch;

import static com.google.common.truth.Truth.assertThat;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class WorkFactorEstimatorTest {
    private static final double TOLERANCE = 0.05;

    private final WorkFactorEstimator estimator = WorkFactorEstimator.create();

    private void reportFor(double percent, long fromMillis, long untilMillis) {
        for (long at = fromMillis; at <= untilMillis; at += 100) {
            estimator.record(new WorkTime(percent), at);
        }
    }

    @Test
    void shouldBeUsualWhenNothingWasReported() {
        assertThat(estimator.isKnown()).isFalse();
        assertThat(estimator.factor(5_000)).isEqualTo(1.0);
    }

    @Nested
    class AfterShortDisturbance {

        @Test
        void shouldUseLastReportWhenItIsRecent() {
            reportFor(100, 0, 20_000);
            estimator.record(new WorkTime(250), 20_100);

            assertThat(estimator.factor(20_150)).isWithin(TOLERANCE).of(2.5);
        }

        // Guards against a target that is avoided for long because its last report was a bad one.
        @Test
        void shouldReturnToMeanWhenReportIsOld() {
            reportFor(100, 0, 20_000);
            estimator.record(new WorkTime(250), 20_100);

            assertThat(estimator.factor(22_500)).isWithin(TOLERANCE).of(estimator.mean(22_500));
            assertThat(estimator.mean(22_500)).isLessThan(1.1);
        }
    }

    // Guards against a target whose speed of minutes ago is still acted on.
    @Test
    void shouldReturnToUsualWhenTargetStopsReporting() {
        reportFor(160, 0, 5_000);

        assertThat(estimator.mean(14_000)).isWithin(TOLERANCE).of(1.6);
        assertThat(estimator.factor(90_000)).isWithin(TOLERANCE).of(1.0);
    }

    @Test
    void shouldIgnoreReportWhenItIsOlderThanTheLast() {
        estimator.record(new WorkTime(100), 1_000);
        estimator.record(new WorkTime(250), 900);

        assertThat(estimator.factor(1_000)).isEqualTo(1.0);
    }

    // Guards against a false report that sends all or no requests to a target.
    @Property(tries = 200, seed = "71")
    void shouldStayWithinBoundsWhenReportsAreFalse(
            @ForAll @DoubleRange(min = 0, max = 2_000_000) double percent) {
        WorkTime.ofPercent(percent)
                .ifPresent(
                        workTime -> {
                            estimator.record(workTime, 0);
                            assertThat(estimator.factor(0)).isAtLeast(0.2);
                            assertThat(estimator.factor(0)).isAtMost(5.0);
                        });
        assertThat(WorkTime.ofPercent(percent).isPresent())
                .isEqualTo(percent > 0 && percent <= WorkTime.MAX_PERCENT);
    }
}
