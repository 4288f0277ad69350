package org.tamaracktrack.core.quota;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class ReturnScheduleTest {
    private static final double RATE_PER_SECOND = 10_000;
    private static final long COST = 1_600;

    private final ReturnSchedule schedule = ReturnSchedule.empty();

    private long add(long nowMillis) {
        return schedule.add(COST, RATE_PER_SECOND, 100, nowMillis);
    }

    @Nested
    class ManyRefusalsAtOnce {

        // Load: an account far above its quota, so that many callers are refused within a moment.
        // Guards against callers that all return when there is room for one of them.
        @Test
        void shouldSpreadReturnsOverTimeInWhichQuotaHasRoomForThem() {
            List<Long> waits = IntStream.range(0, 20).mapToObj(index -> add(0)).toList();

            assertThat(waits).isInStrictOrder();
            assertThat(waits.get(0)).isEqualTo(100);
            double returningUnits = 19 * COST;
            assertThat((waits.get(19) - 100) / 1_000.0 * RATE_PER_SECOND).isAtLeast(returningUnits);
        }

        // Guards against a time to return at which no caller is there any more.
        @Test
        void shouldNotGrowBeyondTenSecondsWhenRefusalsGoOn() {
            IntStream.range(0, 1_000).forEach(index -> assertThat(add(0)).isAtMost(10_000));
        }
    }

    // Guards against callers that wait for others which were refused long ago.
    @Test
    void shouldStartAnewWhenReturnsAreOver() {
        IntStream.range(0, 20).forEach(index -> add(0));

        assertThat(add(60_000)).isEqualTo(100);
    }

    @Test
    void shouldNotFailWhenCoordinatorHasNoAuthority() {
        assertThat(schedule.add(COST, 0, Integer.MAX_VALUE, 0)).isEqualTo(Integer.MAX_VALUE);
    }
}
