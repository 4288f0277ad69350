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

class KnowledgeBoundTest {
    private static final KnowledgeBound BOUND = KnowledgeBound.of(2_000, 3_000);
    private static final long ASKED = 50_000;
    private static final long DIFFERENCE = 1_700_000_000_000L;
    private static final Knowledge KNOWN = Knowledge.none().whole(after(0, 0));
    private static final long LONG_AFTER = 3_600_000;

    private static Moment after(long steadyAge, long dayAge) {
        return new Moment(ASKED + steadyAge, ASKED + dayAge + DIFFERENCE);
    }

    private static Moment after(long age) {
        return after(age, age);
    }

    private static Standing standing(Knowledge knowledge, long steadyAge, long dayAge) {
        return BOUND.standing(knowledge, after(steadyAge, dayAge));
    }

    @Nested
    class Numbers {

        // Guards against a promise whose way to the target is not allowed for.
        @Test
        void shouldLeaveTheWaySomeTimeWhenAPromiseIsKept() {
            assertThat(KnowledgeBound.of(2_000, 3_000))
                    .isEqualTo(new KnowledgeBound(1_600, 1_050, 3_000));
            assertThat(KnowledgeBound.of(3_000, 3_000))
                    .isEqualTo(new KnowledgeBound(2_400, 1_600, 3_000));
            assertThat(KnowledgeBound.of(4_000, 5_000))
                    .isEqualTo(new KnowledgeBound(3_200, 2_400, 5_000));
        }

        // Guards against a short promise whose bound is below what usual reads bring.
        @Test
        void shouldAllowTheAgeOfUsualReadsWhenThePromiseIsShorterThanTheWay() {
            List.of(0L, 399L, 400L, 1_000L, 1_800L)
                    .forEach(
                            promised ->
                                    assertThat(KnowledgeBound.of(promised, 3_000))
                                            .isEqualTo(new KnowledgeBound(1_400, 1_050, 3_000)));
            assertThat(KnowledgeBound.of(1_801, 3_000).mostAgeMillis()).isEqualTo(1_401);
        }

        // Guards against knowledge that is refused earlier in an outage than without one.
        @Test
        void shouldKeepNoLongerThanTheSettlingTimeWhenThatIsShort() {
            assertThat(KnowledgeBound.of(4_000, 3_000))
                    .isEqualTo(new KnowledgeBound(3_200, 2_400, 3_000));
        }
    }

    @Nested
    class Standings {

        // Guards against knowledge that is refused at the very age that is allowed.
        @Test
        void shouldBeFreshWhenTheAgeIsExactlyTheBound() {
            assertThat(standing(KNOWN, 1_600, 1_600)).isEqualTo(Standing.FRESH);
        }

        // Guards against knowledge that is acted on when it is too old.
        @Test
        void shouldBeStaleWhenTheAgeIsOneAboveTheBound() {
            assertThat(standing(KNOWN, 1_601, 1_601)).isEqualTo(Standing.STALE);
        }

        // Guards against a process that was frozen and acts on what it knew before.
        @Test
        void shouldBeStaleWhenTheProcessWasFrozen() {
            assertThat(standing(KNOWN, 1, 1_600)).isEqualTo(Standing.FRESH);
            assertThat(standing(KNOWN, 1, 1_601)).isEqualTo(Standing.STALE);
        }

        // Guards against a clock that is set back and keeps old knowledge in force.
        @Test
        void shouldBeStaleWhenTheTimeOfDayStepsBack() {
            assertThat(standing(KNOWN, 1_601, -3_600_000)).isEqualTo(Standing.STALE);
        }

        // Guards against a clock that is set forward and stops a daemon for good.
        @Test
        void shouldBeFreshAgainWhenItIsReadAfterTheTimeOfDayStepsForward() {
            assertThat(standing(KNOWN, 100, 60_100)).isEqualTo(Standing.STALE);

            Knowledge read = KNOWN.whole(after(100, 60_100));

            assertThat(standing(read, 110, 60_110)).isEqualTo(Standing.FRESH);
        }

        // Guards against a daemon that starts and acts before it has read anything.
        @Test
        void shouldBeStaleWhenNothingWasRead() {
            assertThat(standing(Knowledge.none(), 0, 0)).isEqualTo(Standing.STALE);
        }

        // Guards against a daemon that stops while the store is away.
        @Test
        void shouldBeKeptWhenItIsOldAndTheStoreIsAway() {
            assertThat(standing(KNOWN.away(after(1)), 1_601, 1_601)).isEqualTo(Standing.KEPT);
            assertThat(standing(KNOWN.away(after(LONG_AFTER)), LONG_AFTER, LONG_AFTER))
                    .isEqualTo(Standing.KEPT);
        }

        // Guards against an outage that is believed in for longer than its evidence tells of it.
        @Test
        void shouldBeStaleWhenTheStoreWasAwayLongerAgoThanItSettles() {
            Knowledge away = KNOWN.away(after(LONG_AFTER));

            assertThat(standing(away, LONG_AFTER + 3_000, LONG_AFTER + 3_000))
                    .isEqualTo(Standing.KEPT);
            assertThat(standing(away, LONG_AFTER + 3_001, LONG_AFTER + 3_001))
                    .isEqualTo(Standing.STALE);
        }

        // Guards against a process that was frozen and goes by an outage that it saw before.
        @Test
        void shouldBeStaleWhenTheProcessWasFrozenSinceTheStoreWasAway() {
            Knowledge away = KNOWN.away(after(LONG_AFTER));

            assertThat(standing(away, LONG_AFTER + 1, LONG_AFTER + 3_000)).isEqualTo(Standing.KEPT);
            assertThat(standing(away, LONG_AFTER + 1, LONG_AFTER + 3_001))
                    .isEqualTo(Standing.STALE);
        }

        // Guards against young knowledge that is called old because the store is away.
        @Test
        void shouldBeFreshWhenItIsYoungAndTheStoreIsAway() {
            assertThat(standing(KNOWN.away(after(1_600)), 1_600, 1_600)).isEqualTo(Standing.FRESH);
        }

        // Guards against old knowledge that is acted on after the store's return.
        @Test
        void shouldBeStaleWhenTheStoreIsBackAndNothingWasReadSince() {
            Knowledge back = KNOWN.away(after(100));

            assertThat(standing(back, 3_100, 3_100)).isEqualTo(Standing.KEPT);
            assertThat(standing(back, 3_101, 3_101)).isEqualTo(Standing.STALE);
        }

        // Guards against the worst of several being taken for the best.
        @Test
        void shouldBeOrderedFromTheBestWhenTheyAreCompared() {
            assertThat(List.of(Standing.values()))
                    .containsExactly(Standing.FRESH, Standing.KEPT, Standing.STALE)
                    .inOrder();
        }

        // Guards against a missing argument that is noticed elsewhere.
        @Test
        void shouldThrowWhenTheKnowledgeIsNull() {
            assertThrows(NullPointerException.class, () -> BOUND.standing(null, after(0)));
        }
    }

    @Nested
    class Refreshes {

        // Guards against a read that is asked for again and again while all is usual.
        @Test
        void shouldNotRefreshWhenTheAgeIsExactlyTheRefreshAge() {
            assertThat(BOUND.refreshes(KNOWN, after(1_050))).isFalse();
        }

        // Guards against knowledge that becomes too old with no read under way.
        @Test
        void shouldRefreshWhenTheAgeIsOneAboveTheRefreshAge() {
            assertThat(BOUND.refreshes(KNOWN, after(1_051))).isTrue();
            assertThat(BOUND.refreshes(KNOWN, after(0, 1_051))).isTrue();
            assertThat(BOUND.refreshes(Knowledge.none(), new Moment(0, 0))).isTrue();
        }

        // Guards against a store that is asked all the time while it is away.
        @Test
        void shouldNotRefreshWhenItWasSeenToBeAwayOfLate() {
            Knowledge away = KNOWN.away(after(LONG_AFTER));

            assertThat(BOUND.refreshes(away, after(LONG_AFTER + 1_050))).isFalse();
        }

        // Guards against evidence of an outage that runs out with no read under way.
        @Test
        void shouldRefreshWhenTheEvidenceOfAnOutageGrowsOld() {
            Knowledge away = KNOWN.away(after(LONG_AFTER));

            assertThat(BOUND.refreshes(away, after(LONG_AFTER + 1_051))).isTrue();
            assertThat(BOUND.refreshes(away, after(LONG_AFTER, LONG_AFTER + 1_051))).isTrue();
        }
    }

    @Nested
    @Group
    class AnyPromise {

        // Guards against promises of some length that leave the way no time, or never refresh.
        @Property(seed = "351", tries = 300)
        void shouldKeepAgeAndWayWithinThePromise(
                @ForAll @LongRange(max = 60_000) long promisedMillis,
                @ForAll @LongRange(min = 3_000, max = 5_000) long settlingMillis) {
            KnowledgeBound bound = KnowledgeBound.of(promisedMillis, settlingMillis);

            assertThat(bound.mostAgeMillis()).isAtMost(Math.max(1_400, promisedMillis - 400));
            assertThat(bound.mostAgeMillis()).isAtLeast(1_400);
            assertThat(bound.refreshAgeMillis()).isAtMost(bound.mostAgeMillis());
            assertThat(bound.refreshAgeMillis()).isAtLeast(1_050);
            assertThat(bound.mostAwayAgeMillis()).isEqualTo(settlingMillis);
        }

        // Guards against clocks whose steps make knowledge younger than it is.
        @Property(seed = "352", tries = 300)
        void shouldNeverTakeForFreshWhatIsOldByEitherClock(
                @ForAll @LongRange(min = -10_000, max = 10_000) long steadyAge,
                @ForAll @LongRange(min = -10_000, max = 10_000) long dayAge) {
            boolean old = Math.max(steadyAge, dayAge) > BOUND.mostAgeMillis();

            assertThat(standing(KNOWN, steadyAge, dayAge))
                    .isEqualTo(old ? Standing.STALE : Standing.FRESH);
            assertThat(standing(KNOWN.away(after(steadyAge, dayAge)), steadyAge, dayAge))
                    .isEqualTo(old ? Standing.KEPT : Standing.FRESH);
        }

        // Guards against clocks whose steps make the evidence of an outage younger than it is.
        @Property(seed = "353", tries = 300)
        void shouldNeverKeepWhatIsOldWhenTheEvidenceIsOldByEitherClock(
                @ForAll @LongRange(min = -10_000, max = 10_000) long steadyAge,
                @ForAll @LongRange(min = -10_000, max = 10_000) long dayAge) {
            Knowledge away = Knowledge.none().away(after(0));
            boolean old = Math.max(steadyAge, dayAge) > BOUND.mostAwayAgeMillis();

            assertThat(standing(away, steadyAge, dayAge))
                    .isEqualTo(old ? Standing.STALE : Standing.KEPT);
        }
    }
}
