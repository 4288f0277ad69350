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
    private static final double MOST_MILLIS = 200;

    private static double millisOfTheLink(double megabits, double bytes) {
        return bytes * 8 / (megabits * 1_000);
    }

    @Property(tries = 2_000, seed = "41")
    void shouldNeverTakeTheLinkForLongerWithOneBatch(
            @ForAll @DoubleRange(min = 7, max = 2_000) double megabits,
            @ForAll @IntRange(min = 1, max = 320) int followers,
            @ForAll @IntRange(max = 1_024 * 1_024) int bytes) {
        boolean fits = RelayBudget.of(new RelayLimits(megabits), 0).fits(bytes, followers);

        double millis = millisOfTheLink(megabits, (double) bytes * followers);
        assertThat(fits && millis > MOST_MILLIS).isFalse();
        assertThat(!fits && millis < MOST_MILLIS - 1).isFalse();
    }

    // Guards against batches that are small each and take the link for seconds together.
    @Property(tries = 500, seed = "42")
    void shouldNeverTakeTheLinkForLongerWithManyBatches(
            @ForAll @DoubleRange(min = 7, max = 2_000) double megabits,
            @ForAll @IntRange(min = 1, max = 320) int followers,
            @ForAll @Size(max = 60) List<@IntRange(max = 64 * 1_024) Integer> sizes,
            @ForAll @IntRange(max = 100) int pauseMillis) {
        RelayBudget budget = RelayBudget.of(new RelayLimits(megabits), 0);
        double passedOnBytes = 0;
        long nowMillis = 0;
        for (int bytes : sizes) {
            nowMillis += pauseMillis;
            budget = budget.at(nowMillis);
            if (budget.fits(bytes, followers)) {
                budget = budget.with((long) bytes * followers);
                passedOnBytes += (double) bytes * followers;
            }
        }

        assertThat(millisOfTheLink(megabits, passedOnBytes))
                .isAtMost(MOST_MILLIS + 0.5 * nowMillis + 0.001);
    }

    @Property(tries = 1_000, seed = "43")
    void shouldLetAUsualBatchWaitForEachFollowerAndNoMoreThanTheirPartOfTheLink(
            @ForAll @DoubleRange(min = 7, max = 2_000) double megabits,
            @ForAll @IntRange(min = 1, max = 320) int followers) {
        long waiting = new RelayLimits(megabits).bytesWaiting(followers);

        assertThat(waiting).isAtLeast(4 * 1_024);
        assertThat(waiting).isLessThan(RelayLimits.CONNECTION_BYTES);
        if (waiting > 4 * 1_024) {
            assertThat(millisOfTheLink(megabits, (double) waiting * followers))
                    .isAtMost(MOST_MILLIS);
        }
    }

    @Test
    void shouldRefuseALinkThatCarriesNothing() {
        for (double megabits : new double[] {0, -1, Double.NaN, Double.POSITIVE_INFINITY}) {
            TamaracktrackException refused =
                    assertThrows(TamaracktrackException.class, () -> new RelayLimits(megabits));
            assertThat(refused.code()).isEqualTo(ErrorCode.INVALID_SETTINGS);
        }
    }

    @Nested
    class SmallHolder {
        private static final int FOLLOWERS = 21;
        private static final int USUAL_BYTES = 2 * 1_024;

        private final RelayBudget idle = RelayBudget.of(new RelayLimits(10), 0);

        @Test
        void shouldPassOnABatchOfTheUsualSize() {
            assertThat(idle.fits(USUAL_BYTES, FOLLOWERS)).isTrue();
        }

        @Test
        void shouldPassOnFourBatchesOfTheUsualSizeInEachSecondWithoutEnd() {
            RelayBudget budget = idle;
            for (int batch = 0; batch < 1_000; batch++) {
                budget = budget.at(batch * 250L);
                assertThat(budget.fits(USUAL_BYTES, FOLLOWERS)).isTrue();
                budget = budget.with((long) USUAL_BYTES * FOLLOWERS);
            }
        }

        @Test
        void shouldPassOnAgainWhenWhatWasUnderWayHasLeft() {
            RelayBudget full = idle.with(250_000);

            assertThat(full.fits(USUAL_BYTES, FOLLOWERS)).isFalse();
            assertThat(full.at(50).fits(USUAL_BYTES, FOLLOWERS)).isFalse();
            assertThat(full.at(400).fits(USUAL_BYTES, FOLLOWERS)).isTrue();
        }
    }
}
