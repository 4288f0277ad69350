package org.tamaracktrack.core.knowledge;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Group;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class StalenessBoundTest {
    private static final StalenessBound BOUND = StalenessBound.of(2_000, 3_000);
    private static final long READ_AT_MILLIS = 50_000;
    private static final long CLOCK_DIFFERENCE_MILLIS = 1_700_000_000_000L;
    private static final StoreFreshness AFTER_READ =
            StoreFreshness.unknown().afterRead(atAge(0, 0));
    private static final long ONE_HOUR_MILLIS = 3_600_000;

    private static DualTimestamp atAge(long steadyAge, long dayAge) {
        return new DualTimestamp(
                READ_AT_MILLIS + steadyAge, READ_AT_MILLIS + dayAge + CLOCK_DIFFERENCE_MILLIS);
    }

    private static DualTimestamp atAge(long age) {
        return atAge(age, age);
    }

    private static StalenessState evaluate(StoreFreshness freshness, long steadyAge, long dayAge) {
        return BOUND.evaluate(freshness, atAge(steadyAge, dayAge));
    }

    @Nested
    class DerivedLimits {

        // Guards against a bound that reserves no time for the delivery to the target.
        @Test
        void shouldReserveTimeForDelivery() {
            assertThat(StalenessBound.of(2_000, 3_000))
                    .isEqualTo(new StalenessBound(1_600, 1_050, 3_000));
            assertThat(StalenessBound.of(3_000, 3_000))
                    .isEqualTo(new StalenessBound(2_400, 1_600, 3_000));
            assertThat(StalenessBound.of(4_000, 5_000))
                    .isEqualTo(new StalenessBound(3_200, 2_400, 5_000));
        }

        // Guards against a bound below the age that regular reads achieve, for a short guarantee.
        @Test
        void shouldAllowAgeOfRegularReadsWhenGuaranteeIsShort() {
            List.of(0L, 399L, 400L, 1_000L, 1_800L)
                    .forEach(
                            guaranteeMillis ->
                                    assertThat(StalenessBound.of(guaranteeMillis, 3_000))
                                            .isEqualTo(new StalenessBound(1_400, 1_050, 3_000)));
            assertThat(StalenessBound.of(1_801, 3_000).maxAgeMillis()).isEqualTo(1_401);
        }

        // Guards against information that is rejected earlier during an outage than without one,
        // when the settling time is short.
        @Test
        void shouldLimitToleranceToSettlingTime() {
            assertThat(StalenessBound.of(4_000, 3_000))
                    .isEqualTo(new StalenessBound(3_200, 2_400, 3_000));
        }
    }

    @Nested
    class Evaluation {

        // Guards against information that is rejected at exactly the allowed age.
        @Test
        void shouldBeFreshWhenAgeEqualsBound() {
            assertThat(evaluate(AFTER_READ, 1_600, 1_600)).isEqualTo(StalenessState.FRESH);
        }

        // Guards against information that is used when it is too old.
        @Test
        void shouldBeStaleWhenAgeExceedsBound() {
            assertThat(evaluate(AFTER_READ, 1_601, 1_601)).isEqualTo(StalenessState.STALE);
        }

        // Guards against a process that uses information from before a freeze.
        @Test
        void shouldBeStaleWhenProcessWasFrozen() {
            assertThat(evaluate(AFTER_READ, 1, 1_600)).isEqualTo(StalenessState.FRESH);
            assertThat(evaluate(AFTER_READ, 1, 1_601)).isEqualTo(StalenessState.STALE);
        }

        // Guards against old information that stays valid because the time of day was set back.
        @Test
        void shouldBeStaleWhenTimeOfDayStepsBack() {
            assertThat(evaluate(AFTER_READ, 1_601, -3_600_000)).isEqualTo(StalenessState.STALE);
        }

        // Guards against a daemon that stops permanently after the time of day was set forward.
        @Test
        void shouldBeFreshAgainAfterReadWhenTimeOfDayStepsForward() {
            assertThat(evaluate(AFTER_READ, 100, 60_100)).isEqualTo(StalenessState.STALE);

            StoreFreshness read = AFTER_READ.afterRead(atAge(100, 60_100));

            assertThat(evaluate(read, 110, 60_110)).isEqualTo(StalenessState.FRESH);
        }

        // Guards against a daemon that acts before its first read.
        @Test
        void shouldBeStaleWhenNothingWasRead() {
            assertThat(evaluate(StoreFreshness.unknown(), 0, 0)).isEqualTo(StalenessState.STALE);
        }

        // Guards against a daemon that stops while the store is unavailable.
        @Test
        void shouldBeToleratedWhenOldAndStoreIsUnavailable() {
            assertThat(evaluate(AFTER_READ.afterStoreUnavailable(atAge(1)), 1_601, 1_601))
                    .isEqualTo(StalenessState.TOLERATED);
            assertThat(
                            evaluate(
                                    AFTER_READ.afterStoreUnavailable(atAge(ONE_HOUR_MILLIS)),
                                    ONE_HOUR_MILLIS,
                                    ONE_HOUR_MILLIS))
                    .isEqualTo(StalenessState.TOLERATED);
        }

        // Guards against an outage that is assumed for longer than its evidence is valid.
        @Test
        void shouldBeStaleWhenStoreWasUnavailableBeforeSettlingTime() {
            StoreFreshness unavailable = AFTER_READ.afterStoreUnavailable(atAge(ONE_HOUR_MILLIS));

            assertThat(evaluate(unavailable, ONE_HOUR_MILLIS + 3_000, ONE_HOUR_MILLIS + 3_000))
                    .isEqualTo(StalenessState.TOLERATED);
            assertThat(evaluate(unavailable, ONE_HOUR_MILLIS + 3_001, ONE_HOUR_MILLIS + 3_001))
                    .isEqualTo(StalenessState.STALE);
        }

        // Guards against a process that assumes an outage observed before a freeze.
        @Test
        void shouldBeStaleWhenProcessWasFrozenSinceStoreWasUnavailable() {
            StoreFreshness unavailable = AFTER_READ.afterStoreUnavailable(atAge(ONE_HOUR_MILLIS));

            assertThat(evaluate(unavailable, ONE_HOUR_MILLIS + 1, ONE_HOUR_MILLIS + 3_000))
                    .isEqualTo(StalenessState.TOLERATED);
            assertThat(evaluate(unavailable, ONE_HOUR_MILLIS + 1, ONE_HOUR_MILLIS + 3_001))
                    .isEqualTo(StalenessState.STALE);
        }

        // Guards against recent information that counts as old because the store is unavailable.
        @Test
        void shouldBeFreshWhenRecentAndStoreIsUnavailable() {
            assertThat(evaluate(AFTER_READ.afterStoreUnavailable(atAge(1_600)), 1_600, 1_600))
                    .isEqualTo(StalenessState.FRESH);
        }

        // Guards against old information that is used after the store became available again.
        @Test
        void shouldBeStaleWhenStoreIsAvailableAgainAndNothingWasRead() {
            StoreFreshness available = AFTER_READ.afterStoreUnavailable(atAge(100));

            assertThat(evaluate(available, 3_100, 3_100)).isEqualTo(StalenessState.TOLERATED);
            assertThat(evaluate(available, 3_101, 3_101)).isEqualTo(StalenessState.STALE);
        }

        // Guards against a wrong order of states, by which callers determine the worst of several.
        @Test
        void shouldOrderStatesFromFreshToStale() {
            assertThat(List.of(StalenessState.values()))
                    .containsExactly(
                            StalenessState.FRESH, StalenessState.TOLERATED, StalenessState.STALE)
                    .inOrder();
        }

        // Guards against a missing argument that causes an error elsewhere.
        @Test
        void shouldThrowWhenFreshnessIsNull() {
            assertThrows(NullPointerException.class, () -> BOUND.evaluate(null, atAge(0)));
        }
    }

    @Nested
    class Refreshes {

        // Guards against additional reads during regular operation.
        @Test
        void shouldNotRefreshWhenAgeEqualsRefreshAge() {
            assertThat(BOUND.needsRefresh(AFTER_READ, atAge(1_050))).isFalse();
        }

        // Guards against information that becomes too old without a read in progress.
        @Test
        void shouldRefreshWhenAgeExceedsRefreshAge() {
            assertThat(BOUND.needsRefresh(AFTER_READ, atAge(1_051))).isTrue();
            assertThat(BOUND.needsRefresh(AFTER_READ, atAge(0, 1_051))).isTrue();
            assertThat(BOUND.needsRefresh(StoreFreshness.unknown(), new DualTimestamp(0, 0)))
                    .isTrue();
        }

        // Guards against continuous reads while the store is unavailable.
        @Test
        void shouldNotRefreshWhenStoreWasRecentlyUnavailable() {
            StoreFreshness unavailable = AFTER_READ.afterStoreUnavailable(atAge(ONE_HOUR_MILLIS));

            assertThat(BOUND.needsRefresh(unavailable, atAge(ONE_HOUR_MILLIS + 1_050))).isFalse();
        }

        // Guards against evidence of an outage that expires without a read in progress.
        @Test
        void shouldRefreshWhenEvidenceOfOutageIsOld() {
            StoreFreshness unavailable = AFTER_READ.afterStoreUnavailable(atAge(ONE_HOUR_MILLIS));

            assertThat(BOUND.needsRefresh(unavailable, atAge(ONE_HOUR_MILLIS + 1_051))).isTrue();
            assertThat(
                            BOUND.needsRefresh(
                                    unavailable, atAge(ONE_HOUR_MILLIS, ONE_HOUR_MILLIS + 1_051)))
                    .isTrue();
        }
    }

    @Nested
    @Group
    class AnyGuarantee {

        // Guards against guarantees of any length that reserve no time for delivery or cause no
        // refresh.
        @Property(seed = "351", tries = 300)
        void shouldKeepAgeAndDeliveryWithinGuarantee(
                @ForAll @LongRange(max = 60_000) long guaranteeMillis,
                @ForAll @LongRange(min = 3_000, max = 5_000) long settlingMillis) {
            StalenessBound bound = StalenessBound.of(guaranteeMillis, settlingMillis);

            assertThat(bound.maxAgeMillis()).isAtMost(Math.max(1_400, guaranteeMillis - 400));
            assertThat(bound.maxAgeMillis()).isAtLeast(1_400);
            assertThat(bound.refreshAgeMillis()).isAtMost(bound.maxAgeMillis());
            assertThat(bound.refreshAgeMillis()).isAtLeast(1_050);
            assertThat(bound.maxUnavailableAgeMillis()).isEqualTo(settlingMillis);
        }

        // Guards against clock steps that reduce the apparent age of information.
        @Property(seed = "352", tries = 300)
        void shouldNeverBeFreshWhenOldByEitherClock(
                @ForAll @LongRange(min = -10_000, max = 10_000) long steadyAge,
                @ForAll @LongRange(min = -10_000, max = 10_000) long dayAge) {
            boolean tooOld = Math.max(steadyAge, dayAge) > BOUND.maxAgeMillis();

            assertThat(evaluate(AFTER_READ, steadyAge, dayAge))
                    .isEqualTo(tooOld ? StalenessState.STALE : StalenessState.FRESH);
            assertThat(
                            evaluate(
                                    AFTER_READ.afterStoreUnavailable(atAge(steadyAge, dayAge)),
                                    steadyAge,
                                    dayAge))
                    .isEqualTo(tooOld ? StalenessState.TOLERATED : StalenessState.FRESH);
        }

        // Guards against clock steps that reduce the apparent age of the evidence of an outage.
        @Property(seed = "353", tries = 300)
        void shouldNeverBeToleratedWhenEvidenceIsOldByEitherClock(
                @ForAll @LongRange(min = -10_000, max = 10_000) long steadyAge,
                @ForAll @LongRange(min = -10_000, max = 10_000) long dayAge) {
            StoreFreshness unavailable = StoreFreshness.unknown().afterStoreUnavailable(atAge(0));
            boolean tooOld = Math.max(steadyAge, dayAge) > BOUND.maxUnavailableAgeMillis();

            assertThat(evaluate(unavailable, steadyAge, dayAge))
                    .isEqualTo(tooOld ? StalenessState.STALE : StalenessState.TOLERATED);
        }
    }
}
