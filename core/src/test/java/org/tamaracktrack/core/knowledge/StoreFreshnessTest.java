package org.tamaracktrack.core.knowledge;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class StoreFreshnessTest {
    private static final long READ_AT_MILLIS = 50_000;
    private static final long CLOCK_DIFFERENCE_MILLIS = 1_700_000_000_000L;
    private static final StoreFreshness AFTER_READ =
            StoreFreshness.unknown().afterRead(timestamp(READ_AT_MILLIS));

    private static DualTimestamp timestamp(long steadyMillis) {
        return new DualTimestamp(steadyMillis, steadyMillis + CLOCK_DIFFERENCE_MILLIS);
    }

    private static long ageMillis(long steadyMillis, long dayMillis) {
        return AFTER_READ.ageMillis(new DualTimestamp(steadyMillis, dayMillis));
    }

    @Nested
    class Age {

        // Guards against an age that does not count from the time at which the read was requested.
        @Test
        void shouldCountFromReadRequestWhenBothClocksAdvance() {
            assertThat(ageMillis(READ_AT_MILLIS, READ_AT_MILLIS + CLOCK_DIFFERENCE_MILLIS))
                    .isEqualTo(0);
            assertThat(
                            ageMillis(
                                    READ_AT_MILLIS + 700,
                                    READ_AT_MILLIS + 700 + CLOCK_DIFFERENCE_MILLIS))
                    .isEqualTo(700);
        }

        // Guards against information from before a freeze that counts as recent.
        @Test
        void shouldUseTimeOfDayWhenSteadyClockStoodStill() {
            assertThat(
                            ageMillis(
                                    READ_AT_MILLIS + 10,
                                    READ_AT_MILLIS + 9_010 + CLOCK_DIFFERENCE_MILLIS))
                    .isEqualTo(9_010);
        }

        // Guards against old information that counts as recent after the time of day was set
        // forward.
        @Test
        void shouldGrowWhenTimeOfDayStepsForward() {
            assertThat(
                            ageMillis(
                                    READ_AT_MILLIS + 100,
                                    READ_AT_MILLIS + 3_600_100 + CLOCK_DIFFERENCE_MILLIS))
                    .isEqualTo(3_600_100);
        }

        // Guards against old information that counts as recent after the time of day was set back.
        @Test
        void shouldUseSteadyClockWhenTimeOfDayStepsBack() {
            assertThat(
                            ageMillis(
                                    READ_AT_MILLIS + 5_000,
                                    READ_AT_MILLIS - 3_600_000 + CLOCK_DIFFERENCE_MILLIS))
                    .isEqualTo(5_000);
        }

        // Guards against an overflow of the age when nothing was read.
        @Test
        void shouldBeVeryLargeWhenNothingWasRead() {
            long hugeMillis = Long.MAX_VALUE / 8;

            assertThat(StoreFreshness.unknown().ageMillis(new DualTimestamp(0, 0)))
                    .isGreaterThan(hugeMillis);
            assertThat(
                            StoreFreshness.unknown()
                                    .ageMillis(
                                            new DualTimestamp(
                                                    Long.MAX_VALUE / 4, CLOCK_DIFFERENCE_MILLIS)))
                    .isGreaterThan(hugeMillis);
            assertThat(
                            StoreFreshness.unknown()
                                    .ageMillis(
                                            new DualTimestamp(
                                                    -Long.MAX_VALUE / 16, CLOCK_DIFFERENCE_MILLIS)))
                    .isGreaterThan(hugeMillis);
        }
    }

    @Nested
    class Reads {

        // Guards against a late answer to an older read that makes the information older again.
        @Test
        void shouldNotChangeWhenOlderReadIsAnsweredLater() {
            assertThat(AFTER_READ.afterRead(new DualTimestamp(READ_AT_MILLIS - 1, 0)))
                    .isEqualTo(AFTER_READ);
            assertThat(AFTER_READ.afterRead(new DualTimestamp(READ_AT_MILLIS, 0)))
                    .isEqualTo(AFTER_READ);
        }

        // Guards against a clock adjustment after which all later information counts as old.
        @Test
        void shouldUseClocksOfNewestReadWhenClockWasSet() {
            StoreFreshness newer =
                    AFTER_READ.afterRead(
                            new DualTimestamp(
                                    READ_AT_MILLIS + 1,
                                    READ_AT_MILLIS + 1 + CLOCK_DIFFERENCE_MILLIS + 60_000));
            DualTimestamp now =
                    new DualTimestamp(
                            READ_AT_MILLIS + 5,
                            READ_AT_MILLIS + 5 + CLOCK_DIFFERENCE_MILLIS + 60_000);

            assertThat(newer.ageMillis(now)).isEqualTo(4);
        }

        // Guards against a read that clears the evidence of an outage, although its data may
        // predate the outage.
        @Test
        void shouldKeepUnavailabilityAfterSuccessfulRead() {
            StoreFreshness read =
                    AFTER_READ
                            .afterStoreUnavailable(timestamp(READ_AT_MILLIS))
                            .afterRead(timestamp(READ_AT_MILLIS + 1));

            assertThat(read.unavailableAt()).isEqualTo(timestamp(READ_AT_MILLIS));
        }
    }

    @Nested
    class StoreUnavailable {

        // Guards against an outage that changes how far the information reaches.
        @Test
        void shouldKeepCompletenessWhenStoreIsUnavailable() {
            assertThat(
                            AFTER_READ
                                    .afterStoreUnavailable(timestamp(READ_AT_MILLIS + 500))
                                    .completeAt())
                    .isEqualTo(timestamp(READ_AT_MILLIS));
        }

        // Guards against a daemon that assumes an outage at its start.
        @Test
        void shouldNotBeUnavailableWhenNothingWasRead() {
            long hugeMillis = Long.MAX_VALUE / 8;

            assertThat(StoreFreshness.unknown().unavailableAgeMillis(timestamp(0)))
                    .isGreaterThan(hugeMillis);
            assertThat(AFTER_READ.unavailableAgeMillis(timestamp(READ_AT_MILLIS)))
                    .isGreaterThan(hugeMillis);
        }

        // Guards against an outage that counts from the failure of a read rather than from its
        // request.
        @Test
        void shouldCountFromReadRequestWhenReadFailed() {
            StoreFreshness unavailable =
                    AFTER_READ.afterStoreUnavailable(timestamp(READ_AT_MILLIS + 500));

            assertThat(unavailable.unavailableAgeMillis(timestamp(READ_AT_MILLIS + 500)))
                    .isEqualTo(0);
            assertThat(unavailable.unavailableAgeMillis(timestamp(READ_AT_MILLIS + 1_200)))
                    .isEqualTo(700);
        }

        // Guards against a process that assumes an outage from before a freeze to be current.
        @Test
        void shouldUseTimeOfDayWhenSteadyClockStoodStillSinceFailure() {
            StoreFreshness unavailable =
                    AFTER_READ.afterStoreUnavailable(timestamp(READ_AT_MILLIS));

            assertThat(
                            unavailable.unavailableAgeMillis(
                                    new DualTimestamp(
                                            READ_AT_MILLIS + 10,
                                            READ_AT_MILLIS + 9_010 + CLOCK_DIFFERENCE_MILLIS)))
                    .isEqualTo(9_010);
        }

        // Guards against an ongoing outage that is dated only by its first failed read.
        @Test
        void shouldCountFromLatestReadRequestWhenSeveralReadsFailed() {
            StoreFreshness unavailable =
                    AFTER_READ
                            .afterStoreUnavailable(timestamp(READ_AT_MILLIS + 500))
                            .afterStoreUnavailable(timestamp(READ_AT_MILLIS + 900));

            assertThat(unavailable.unavailableAgeMillis(timestamp(READ_AT_MILLIS + 1_000)))
                    .isEqualTo(100);
        }

        // Guards against a failure that is reported late and replaces more recent evidence.
        @Test
        void shouldNotChangeWhenEarlierReadFailsLater() {
            StoreFreshness unavailable =
                    AFTER_READ.afterStoreUnavailable(timestamp(READ_AT_MILLIS + 500));

            assertThat(
                            unavailable.afterStoreUnavailable(
                                    new DualTimestamp(READ_AT_MILLIS + 499, 0)))
                    .isEqualTo(unavailable);
            assertThat(
                            unavailable.afterStoreUnavailable(
                                    new DualTimestamp(READ_AT_MILLIS + 500, 0)))
                    .isEqualTo(unavailable);
        }
    }
}
