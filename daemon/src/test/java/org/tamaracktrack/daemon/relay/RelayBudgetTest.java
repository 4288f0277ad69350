package org.tamaracktrack.daemon.relay;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.tamaracktrack.core.error.ErrorCode;
import org.tamaracktrack.core.error.TamaracktrackException;

class RelayBudgetTest {
    private static final double MAXIMUM_TRANSIT_MILLIS = 200;

    private static double transmissionMillis(double megabits, double bytes) {
        return bytes * 8 / (megabits * 1_000);
    }

    @Property(tries = 2_000, seed = "41")
    void shouldNeverExceedTheTransitTimeWithOneBatch(
            @ForAll @DoubleRange(min = 7, max = 2_000) double megabits,
            @ForAll @IntRange(min = 1, max = 320) int followers,
            @ForAll @IntRange(max = 1_024 * 1_024) int bytes) {
        boolean fits = RelayBudget.of(new RelayLimits(megabits), 0).fits(bytes, followers);

        double millis = transmissionMillis(megabits, (double) bytes * followers);
        assertThat(fits && millis > MAXIMUM_TRANSIT_MILLIS).isFalse();
        assertThat(!fits && millis < MAXIMUM_TRANSIT_MILLIS - 1).isFalse();
    }

    // Guards against batches that are small each, but occupy the link for seconds together.
    @Property(tries = 500, seed = "42")
    void shouldNeverExceedTheTransitTimeWithManyBatches(
            @ForAll @DoubleRange(min = 7, max = 2_000) double megabits,
            @ForAll @IntRange(min = 1, max = 320) int followers,
            @ForAll @Size(max = 60) List<@IntRange(max = 64 * 1_024) Integer> sizes,
            @ForAll @IntRange(max = 100) int pauseMillis) {
        RelayBudget budget = RelayBudget.of(new RelayLimits(megabits), 0);
        double sentBytes = 0;
        long nowMillis = 0;
        for (int bytes : sizes) {
            nowMillis += pauseMillis;
            budget = budget.advanceTo(nowMillis);
            if (budget.fits(bytes, followers)) {
                budget = budget.with((long) bytes * followers);
                sentBytes += (double) bytes * followers;
            }
        }

        assertThat(transmissionMillis(megabits, sentBytes))
                .isAtMost(MAXIMUM_TRANSIT_MILLIS + 0.5 * nowMillis + 0.001);
    }

    @Property(tries = 1_000, seed = "43")
    void shouldQueueATypicalBatchAndAtMostAnEqualShareForEachFollower(
            @ForAll @DoubleRange(min = 7, max = 2_000) double megabits,
            @ForAll @IntRange(min = 1, max = 320) int followers) {
        long queuedBytes = new RelayLimits(megabits).maximumQueuedBytes(followers);

        assertThat(queuedBytes).isAtLeast(4 * 1_024);
        assertThat(queuedBytes).isLessThan(RelayLimits.MAXIMUM_CONNECTION_BYTES);
        if (queuedBytes > 4 * 1_024) {
            assertThat(transmissionMillis(megabits, (double) queuedBytes * followers))
                    .isAtMost(MAXIMUM_TRANSIT_MILLIS);
        }
    }

    @Test
    void shouldRejectALinkRateThatIsNotPositiveAndFinite() {
        for (double megabits : new double[] {0, -1, Double.NaN, Double.POSITIVE_INFINITY}) {
            TamaracktrackException refused =
                    assertThrows(TamaracktrackException.class, () -> new RelayLimits(megabits));
            assertThat(refused.code()).isEqualTo(ErrorCode.INVALID_SETTINGS);
        }
    }

    @Nested
    class SmallHolder {
        private static final int FOLLOWERS = 21;
        private static final int TYPICAL_BYTES = 2 * 1_024;

        private final RelayBudget idle = RelayBudget.of(new RelayLimits(10), 0);

        @Test
        void shouldAllowABatchOfTypicalSize() {
            assertThat(idle.fits(TYPICAL_BYTES, FOLLOWERS)).isTrue();
        }

        @Test
        void shouldAllowFourBatchesOfTypicalSizePerSecondIndefinitely() {
            RelayBudget budget = idle;
            for (int batch = 0; batch < 1_000; batch++) {
                budget = budget.advanceTo(batch * 250L);
                assertThat(budget.fits(TYPICAL_BYTES, FOLLOWERS)).isTrue();
                budget = budget.with((long) TYPICAL_BYTES * FOLLOWERS);
            }
        }

        @Test
        void shouldAllowABatchAgainAfterTheBytesInTransitWereSent() {
            RelayBudget full = idle.with(250_000);

            assertThat(full.fits(TYPICAL_BYTES, FOLLOWERS)).isFalse();
            assertThat(full.advanceTo(50).fits(TYPICAL_BYTES, FOLLOWERS)).isFalse();
            assertThat(full.advanceTo(400).fits(TYPICAL_BYTES, FOLLOWERS)).isTrue();
        }
    }
}
