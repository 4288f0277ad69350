package org.tamaracktrack.core.admission;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.tamaracktrack.core.error.ErrorCode;
import org.tamaracktrack.core.id.ModelId;

class FairAdmissionTest {
    private static final int LARGEST = 500;

    // One client account floods the target and another sends little: what each is served, divided
    // by its share, stays within the cost of one request each, whatever the backlogs are.
    @Property(seed = "90210", tries = 300)
    void shouldKeepSharesWhenAllAreBacklogged(
            @ForAll long schedule,
            @ForAll @IntRange(min = 1, max = 9) int share,
            @ForAll @IntRange(min = 1, max = 8) int slots) {
        Random random = new Random(schedule);
        int[] shares = {1, share, 10};
        Works works = backlogged(random, slots, shares);

        for (int turn = 0; turn < 200; turn++) {
            works.endOldest(OptionalInt.empty(), 0);
            assertSharesKept(works, shares, new long[3]);
        }
    }

    private static Works backlogged(Random random, int slots, int[] shares) {
        Works works = new Works(FairAdmission.of(Works.limits(slots, 1_000, 10_000, shares)));
        // Until all have arrived nothing may start, or the first to arrive would be ahead.
        works.tell(new AdmissionMessage.LimitsChanged(Works.limits(0, 1_000, 10_000, shares)), 0);
        for (int account = 0; account < shares.length; account++) {
            for (int index = 0; index < 300 * (account + 1); index++) {
                works.arrive(account, Works.SHORT, 1 + random.nextInt(LARGEST));
            }
        }
        works.tell(
                new AdmissionMessage.LimitsChanged(Works.limits(slots, 1_000, 10_000, shares)), 0);
        return works;
    }

    private static void assertSharesKept(Works works, int[] shares, long[] since) {
        for (int one = 0; one < shares.length; one++) {
            for (int other = 0; other < shares.length; other++) {
                double ahead =
                        (double) (works.startedTokens(one) - since[one]) / shares[one]
                                - (double) (works.startedTokens(other) - since[other])
                                        / shares[other];
                assertWithMessage("account %s ahead of %s", one, other)
                        .that(ahead)
                        .isAtMost(
                                (double) LARGEST / shares[one] + (double) LARGEST / shares[other]);
            }
        }
    }

    // An account that was quiet all night returns in the morning. If idle time were saved up, the
    // others would get nothing until it had spent its savings.
    @Property(seed = "1848", tries = 200)
    void shouldGiveNoMoreThanTheShareWhenAnIdleAccountReturns(@ForAll long schedule) {
        Random random = new Random(schedule);
        int[] shares = {1, 1};
        Works works = new Works(FairAdmission.of(Works.limits(2, 1_000, 10_000, shares)));
        for (int index = 0; index < 300; index++) {
            works.arrive(0, Works.SHORT, 1 + random.nextInt(LARGEST));
        }
        for (int turn = 0; turn < 100; turn++) {
            works.endOldest(OptionalInt.empty(), 0);
        }
        long[] since = {works.startedTokens(0), 0};
        for (int index = 0; index < 300; index++) {
            works.arrive(1, Works.SHORT, 1 + random.nextInt(LARGEST));
        }

        for (int turn = 0; turn < 100; turn++) {
            works.endOldest(OptionalInt.empty(), 0);
            assertSharesKept(works, shares, since);
        }
    }

    // An account whose requests cost a hundred times what was estimated would get a hundred times
    // its share, if the estimate were not corrected when the work ends.
    @Property(seed = "5150", tries = 100)
    void shouldKeepSharesOfTrueCostWhenEstimatesAreWrong(@ForAll long schedule) {
        Random random = new Random(schedule);
        int[] shares = {1, 1};
        int slots = 1 + random.nextInt(4);
        Works works = new Works(FairAdmission.of(Works.limits(slots, 1_000, 10_000, shares)));
        for (int index = 0; index < 2_000; index++) {
            works.arrive(0, Works.SHORT, 1);
            works.arrive(1, Works.SHORT, 100);
        }
        long[] cost = new long[2];
        for (int turn = 0; turn < 1_000; turn++) {
            Work ended = works.endOldest(OptionalInt.of(100), 0);
            cost[ended.account().equals(Works.account(0)) ? 0 : 1] += 100;
        }

        assertThat(Math.abs(cost[0] - cost[1])).isAtMost(100L * (slots + 2) * 2);
    }

    @Property(seed = "777", tries = 100)
    void shouldServeClassesByWeightWhenBothAreBacklogged(@ForAll long schedule) {
        Random random = new Random(schedule);
        Works works = new Works(FairAdmission.of(Works.limits(2, 1_000, 10_000, 1)));
        for (int index = 0; index < 1_000; index++) {
            works.arrive(0, Works.SHORT, 1 + random.nextInt(LARGEST));
            works.arrive(0, Works.LONG, 1 + random.nextInt(LARGEST));
        }

        for (int turn = 0; turn < 600; turn++) {
            works.endOldest(OptionalInt.empty(), 0);
        }

        double ahead = works.startedTokens(Works.SHORT) / 3.0 - works.startedTokens(Works.LONG);
        assertThat(Math.abs(ahead)).isAtMost(3.0 * LARGEST);
    }

    // Never an idle slot beside waiting work that may run; never more running than slots or caps.
    @Property(seed = "4711", tries = 300)
    void shouldConserveWorkWhenAnythingHappens(@ForAll long schedule) {
        Random random = new Random(schedule);
        int slots = 1 + random.nextInt(6);
        int cap = 1 + random.nextInt(4);
        FairAdmission policy = FairAdmission.of(Works.limits(slots, cap, 50, 1, 2, 5));
        Works works = new Works(policy);
        for (int turn = 0; turn < 300; turn++) {
            if (random.nextInt(5) < 3) {
                works.arrive(random.nextInt(3), Works.SHORT, 1 + random.nextInt(LARGEST));
            } else if (works.isAnyRunning()) {
                works.endOldest(OptionalInt.of(1 + random.nextInt(LARGEST)), 0);
            }
            boolean allCapped =
                    works.runningOf(0) == cap
                            || works.runningOf(1) == cap
                            || works.runningOf(2) == cap;
            assertThat(policy.running()).isAtMost(slots);
            assertThat(works.runningOf(0)).isAtMost(cap);
            if (policy.queued() > 0 && !allCapped) {
                assertThat(policy.running()).isEqualTo(slots);
            }
        }
    }

    @Property(seed = "60601", tries = 100)
    void shouldStartTheQuietAccountSoonWhenAnotherFloods(@ForAll long schedule) {
        Random random = new Random(schedule);
        Works works = new Works(FairAdmission.of(Works.limits(1, 1_000, 10_000, 1, 1)));
        for (int index = 0; index < 1_000; index++) {
            works.arrive(0, Works.SHORT, 1 + random.nextInt(LARGEST));
        }
        int turns = random.nextInt(200);
        for (int turn = 0; turn < turns; turn++) {
            works.endOldest(OptionalInt.empty(), 0);
        }
        works.arrive(1, Works.SHORT, LARGEST);

        works.endOldest(OptionalInt.empty(), 0);
        works.endOldest(OptionalInt.empty(), 0);

        assertThat(works.startedTokens(1)).isEqualTo(LARGEST);
    }

    @Nested
    class Limits {

        @Test
        void shouldRefuseAsOverloadedWhenTheClassQueueIsFull() {
            Works works = new Works(FairAdmission.of(Works.limits(1, 10, 1, 1, 1)));
            works.arrive(0, Works.SHORT, 1);
            works.arrive(0, Works.SHORT, 1);

            assertThat(codes(works.arrive(patient(works, 1), 0)))
                    .containsExactly(ErrorCode.OVERLOADED);
        }

        @Test
        void shouldKeepACappedAccountWaitingWhenASlotIsFree() {
            FairAdmission policy = FairAdmission.of(Works.limits(4, 1, 10, 1, 1));
            Works works = new Works(policy);
            works.arrive(0, Works.SHORT, 1);
            works.arrive(0, Works.SHORT, 1);
            works.arrive(1, Works.SHORT, 1);

            assertThat(policy.running()).isEqualTo(2);
            assertThat(policy.queued()).isEqualTo(1);
        }

        @Test
        void shouldSayCancelledBeforeStartWhenAWaitingRequestIsCancelled() {
            Works works = new Works(FairAdmission.of(Works.limits(1, 10, 10, 1)));
            works.arrive(0, Works.SHORT, 1);
            Work waiting = patient(works, 0);
            works.arrive(waiting, 0);

            assertThat(codes(works.tell(new AdmissionMessage.Cancelled(waiting.attempt()), 0)))
                    .containsExactly(ErrorCode.CANCELLED_BEFORE_START);
        }
    }

    @Nested
    class EarlyRefusal {

        // A buyer on a forecourt waits for a look-up that can't be served in time. Told at once,
        // its client tries elsewhere; held back until its turn, the sale is lost either way.
        @Test
        void shouldRefuseOnArrivalWhenTheQueueAheadIsTooLong() {
            Works works = slowTarget();
            List<AdmissionAction> actions =
                    works.arrive(works.work(0, 1, 2_000, 500, Optional.empty()), 2_000);

            assertThat(codes(actions)).containsExactly(ErrorCode.CANNOT_MEET_CLASS);
            assertThat(((AdmissionAction.Refuse) actions.get(0)).retryAfterMillis()).isAtLeast(100);
        }

        @Test
        void shouldRefuseWhileWaitingWhenTheTargetGetsSlower() {
            Works works = slowTarget();
            Work waiting = works.work(0, 1, 2_000, 2_500, Optional.empty());
            assertThat(codes(works.arrive(waiting, 2_000))).isEmpty();

            List<AdmissionAction> actions = works.tell(new AdmissionMessage.Tick(), 4_000);

            assertThat(codes(actions)).containsExactly(ErrorCode.CANNOT_MEET_CLASS);
        }

        @Test
        void shouldRefuseWhenTheWaitLimitHasPassed() {
            Works works = new Works(FairAdmission.of(Works.limits(1, 10, 10, 1)));
            works.arrive(0, Works.SHORT, 1);
            works.arrive(works.work(0, 1, 0, 50, Optional.empty()), 0);

            assertThat(codes(works.tell(new AdmissionMessage.Tick(), 50)))
                    .containsExactly(ErrorCode.DEADLINE_BEFORE_START);
        }

        // If the engine was slow for a while, refusing on its old figures alone would go on for
        // ever, since no new figure would come in.
        @Test
        void shouldTryARequestWhenNothingIsAheadOfIt() {
            Works works = slowTarget();
            works.endOldest(OptionalInt.empty(), 3_000);

            assertThat(works.arrive(works.work(0, 1, 3_000, 10, Optional.empty()), 3_000).get(0))
                    .isInstanceOf(AdmissionAction.Start.class);
        }

        // One slot, requests that hold it for a second, and one of them running.
        private Works slowTarget() {
            Works works = new Works(FairAdmission.of(Works.limits(1, 10, 10, 1)));
            works.arrive(works.work(0, 1, 0, 9_000, Optional.empty()), 0);
            works.endOldest(OptionalInt.empty(), 1_000);
            works.arrive(works.work(0, 1, 1_000, 9_000, Optional.empty()), 1_000);
            return works;
        }
    }

    @Nested
    class Needs {
        private static final Need NEED = Need.of(ModelId.of("m"));

        @Test
        void shouldStartWhenTheModelBecomesReady() {
            FairAdmission policy = FairAdmission.of(Works.limits(1, 10, 10, 1));
            Works works = new Works(policy);
            works.arrive(works.work(0, 1, 0, 500, Optional.of(NEED)), 0);
            assertThat(policy.unmetNeeds()).containsExactly(NEED);

            List<AdmissionAction> actions =
                    works.tell(new AdmissionMessage.ReadyChanged(Set.of(NEED)), 100);

            assertThat(actions.get(0)).isInstanceOf(AdmissionAction.Start.class);
        }

        @Test
        void shouldRefuseOnlyWhatCannotWaitWhenALoadTakesLong() {
            FairAdmission policy = FairAdmission.of(Works.limits(1, 10, 10, 1));
            Works works = new Works(policy);
            works.arrive(works.work(0, 1, 0, 500, Optional.of(NEED)), 0);
            works.arrive(works.work(0, 1, 0, 5_000, Optional.of(NEED)), 0);

            List<AdmissionAction> actions =
                    works.tell(new AdmissionMessage.NeedDelayed(NEED, 2_000), 0);

            assertThat(codes(actions)).containsExactly(ErrorCode.MODEL_NOT_RESIDENT);
            assertThat(policy.queued()).isEqualTo(1);
        }
    }

    private static Work patient(Works works, int account) {
        return works.work(account, 1, 0, 100_000, Optional.empty());
    }

    private static List<ErrorCode> codes(List<AdmissionAction> actions) {
        return actions.stream()
                .filter(action -> action instanceof AdmissionAction.Refuse)
                .map(action -> ((AdmissionAction.Refuse) action).code())
                .toList();
    }
}
