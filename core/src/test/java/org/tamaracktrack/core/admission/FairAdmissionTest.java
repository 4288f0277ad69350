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
    private static final int MAXIMUM_TOKENS = 500;

    // One client account floods the target and another sends little. The tokens served to each,
    // divided by its share, must stay within the cost of one request each for all backlogs.
    @Property(seed = "90210", tries = 300)
    void shouldKeepSharesWhenAllAccountsAreBacklogged(
            @ForAll long schedule,
            @ForAll @IntRange(min = 1, max = 9) int share,
            @ForAll @IntRange(min = 1, max = 8) int slots) {
        Random random = new Random(schedule);
        int[] shares = {1, share, 10};
        AdmissionPolicyDriver driver = backlogged(random, slots, shares);

        for (int turn = 0; turn < 200; turn++) {
            driver.endOldest(OptionalInt.empty(), 0);
            assertSharesKept(driver, shares, new long[3]);
        }
    }

    private static AdmissionPolicyDriver backlogged(Random random, int slots, int[] shares) {
        AdmissionPolicyDriver driver =
                new AdmissionPolicyDriver(
                        FairAdmission.of(
                                AdmissionPolicyDriver.limits(slots, 1_000, 10_000, shares)));
        // Nothing may start until all requests have arrived, or the first account to arrive would
        // be ahead.
        driver.handle(
                new AdmissionMessage.LimitsChanged(
                        AdmissionPolicyDriver.limits(0, 1_000, 10_000, shares)),
                0);
        for (int account = 0; account < shares.length; account++) {
            for (int index = 0; index < 300 * (account + 1); index++) {
                driver.arrive(
                        account, AdmissionPolicyDriver.SHORT, 1 + random.nextInt(MAXIMUM_TOKENS));
            }
        }
        driver.handle(
                new AdmissionMessage.LimitsChanged(
                        AdmissionPolicyDriver.limits(slots, 1_000, 10_000, shares)),
                0);
        return driver;
    }

    private static void assertSharesKept(
            AdmissionPolicyDriver driver, int[] shares, long[] tokensBefore) {
        for (int account = 0; account < shares.length; account++) {
            for (int other = 0; other < shares.length; other++) {
                double ahead =
                        (double) (driver.startedTokens(account) - tokensBefore[account])
                                        / shares[account]
                                - (double) (driver.startedTokens(other) - tokensBefore[other])
                                        / shares[other];
                assertWithMessage("account %s ahead of %s", account, other)
                        .that(ahead)
                        .isAtMost(
                                (double) MAXIMUM_TOKENS / shares[account]
                                        + (double) MAXIMUM_TOKENS / shares[other]);
            }
        }
    }

    // An account returns after a long idle period. If idle time were credited, the other accounts
    // would get nothing until it had used up its credit.
    @Property(seed = "1848", tries = 200)
    void shouldGiveNoMoreThanTheShareWhenAnIdleAccountReturns(@ForAll long schedule) {
        Random random = new Random(schedule);
        int[] shares = {1, 1};
        AdmissionPolicyDriver driver =
                new AdmissionPolicyDriver(
                        FairAdmission.of(AdmissionPolicyDriver.limits(2, 1_000, 10_000, shares)));
        for (int index = 0; index < 300; index++) {
            driver.arrive(0, AdmissionPolicyDriver.SHORT, 1 + random.nextInt(MAXIMUM_TOKENS));
        }
        for (int turn = 0; turn < 100; turn++) {
            driver.endOldest(OptionalInt.empty(), 0);
        }
        long[] tokensBefore = {driver.startedTokens(0), 0};
        for (int index = 0; index < 300; index++) {
            driver.arrive(1, AdmissionPolicyDriver.SHORT, 1 + random.nextInt(MAXIMUM_TOKENS));
        }

        for (int turn = 0; turn < 100; turn++) {
            driver.endOldest(OptionalInt.empty(), 0);
            assertSharesKept(driver, shares, tokensBefore);
        }
    }

    // An account whose requests cost a hundred times their estimate would get a hundred times its
    // share if the cost were not corrected when a request ends.
    @Property(seed = "5150", tries = 100)
    void shouldKeepSharesOfActualCostWhenEstimatesAreWrong(@ForAll long schedule) {
        Random random = new Random(schedule);
        int[] shares = {1, 1};
        int slots = 1 + random.nextInt(4);
        AdmissionPolicyDriver driver =
                new AdmissionPolicyDriver(
                        FairAdmission.of(
                                AdmissionPolicyDriver.limits(slots, 1_000, 10_000, shares)));
        for (int index = 0; index < 2_000; index++) {
            driver.arrive(0, AdmissionPolicyDriver.SHORT, 1);
            driver.arrive(1, AdmissionPolicyDriver.SHORT, 100);
        }
        long[] cost = new long[2];
        for (int turn = 0; turn < 1_000; turn++) {
            AdmissionRequest ended = driver.endOldest(OptionalInt.of(100), 0);
            cost[ended.account().equals(AdmissionPolicyDriver.account(0)) ? 0 : 1] += 100;
        }

        assertThat(Math.abs(cost[0] - cost[1])).isAtMost(100L * (slots + 2) * 2);
    }

    @Property(seed = "777", tries = 100)
    void shouldServeClassesByWeightWhenBothAreBacklogged(@ForAll long schedule) {
        Random random = new Random(schedule);
        AdmissionPolicyDriver driver =
                new AdmissionPolicyDriver(
                        FairAdmission.of(AdmissionPolicyDriver.limits(2, 1_000, 10_000, 1)));
        for (int index = 0; index < 1_000; index++) {
            driver.arrive(0, AdmissionPolicyDriver.SHORT, 1 + random.nextInt(MAXIMUM_TOKENS));
            driver.arrive(0, AdmissionPolicyDriver.LONG, 1 + random.nextInt(MAXIMUM_TOKENS));
        }

        for (int turn = 0; turn < 600; turn++) {
            driver.endOldest(OptionalInt.empty(), 0);
        }

        double ahead =
                driver.startedTokens(AdmissionPolicyDriver.SHORT) / 3.0
                        - driver.startedTokens(AdmissionPolicyDriver.LONG);
        assertThat(Math.abs(ahead)).isAtMost(3.0 * MAXIMUM_TOKENS);
    }

    // No slot may be idle while a runnable request waits, and no more requests may run than there
    // are slots or than the cap allows.
    @Property(seed = "4711", tries = 300)
    void shouldUseEverySlotWhileRunnableRequestsWait(@ForAll long schedule) {
        Random random = new Random(schedule);
        int slots = 1 + random.nextInt(6);
        int cap = 1 + random.nextInt(4);
        FairAdmission policy =
                FairAdmission.of(AdmissionPolicyDriver.limits(slots, cap, 50, 1, 2, 5));
        AdmissionPolicyDriver driver = new AdmissionPolicyDriver(policy);
        for (int turn = 0; turn < 300; turn++) {
            if (random.nextInt(5) < 3) {
                driver.arrive(
                        random.nextInt(3),
                        AdmissionPolicyDriver.SHORT,
                        1 + random.nextInt(MAXIMUM_TOKENS));
            } else if (driver.isAnyRunning()) {
                driver.endOldest(OptionalInt.of(1 + random.nextInt(MAXIMUM_TOKENS)), 0);
            }
            boolean allCapped =
                    driver.runningOf(0) == cap
                            || driver.runningOf(1) == cap
                            || driver.runningOf(2) == cap;
            assertThat(policy.running()).isAtMost(slots);
            assertThat(driver.runningOf(0)).isAtMost(cap);
            if (policy.queued() > 0 && !allCapped) {
                assertThat(policy.running()).isEqualTo(slots);
            }
        }
    }

    @Property(seed = "60601", tries = 100)
    void shouldStartALightAccountPromptlyWhenAnotherAccountFloods(@ForAll long schedule) {
        Random random = new Random(schedule);
        AdmissionPolicyDriver driver =
                new AdmissionPolicyDriver(
                        FairAdmission.of(AdmissionPolicyDriver.limits(1, 1_000, 10_000, 1, 1)));
        for (int index = 0; index < 1_000; index++) {
            driver.arrive(0, AdmissionPolicyDriver.SHORT, 1 + random.nextInt(MAXIMUM_TOKENS));
        }
        int turns = random.nextInt(200);
        for (int turn = 0; turn < turns; turn++) {
            driver.endOldest(OptionalInt.empty(), 0);
        }
        driver.arrive(1, AdmissionPolicyDriver.SHORT, MAXIMUM_TOKENS);

        driver.endOldest(OptionalInt.empty(), 0);
        driver.endOldest(OptionalInt.empty(), 0);

        assertThat(driver.startedTokens(1)).isEqualTo(MAXIMUM_TOKENS);
    }

    @Nested
    class Limits {

        @Test
        void shouldRefuseAsOverloadedWhenTheClassQueueIsFull() {
            AdmissionPolicyDriver driver =
                    new AdmissionPolicyDriver(
                            FairAdmission.of(AdmissionPolicyDriver.limits(1, 10, 1, 1, 1)));
            driver.arrive(0, AdmissionPolicyDriver.SHORT, 1);
            driver.arrive(0, AdmissionPolicyDriver.SHORT, 1);

            assertThat(codes(driver.arrive(requestWithLongWaitLimit(driver, 1), 0)))
                    .containsExactly(ErrorCode.OVERLOADED);
        }

        @Test
        void shouldKeepACappedAccountWaitingWhenASlotIsFree() {
            FairAdmission policy = FairAdmission.of(AdmissionPolicyDriver.limits(4, 1, 10, 1, 1));
            AdmissionPolicyDriver driver = new AdmissionPolicyDriver(policy);
            driver.arrive(0, AdmissionPolicyDriver.SHORT, 1);
            driver.arrive(0, AdmissionPolicyDriver.SHORT, 1);
            driver.arrive(1, AdmissionPolicyDriver.SHORT, 1);

            assertThat(policy.running()).isEqualTo(2);
            assertThat(policy.queued()).isEqualTo(1);
        }

        @Test
        void shouldReportCancelledBeforeStartWhenAWaitingRequestIsCancelled() {
            AdmissionPolicyDriver driver =
                    new AdmissionPolicyDriver(
                            FairAdmission.of(AdmissionPolicyDriver.limits(1, 10, 10, 1)));
            driver.arrive(0, AdmissionPolicyDriver.SHORT, 1);
            AdmissionRequest waiting = requestWithLongWaitLimit(driver, 0);
            driver.arrive(waiting, 0);

            assertThat(codes(driver.handle(new AdmissionMessage.Cancelled(waiting.attempt()), 0)))
                    .containsExactly(ErrorCode.CANCELLED_BEFORE_START);
        }
    }

    @Nested
    class EarlyRefusal {

        // An interactive caller waits for a request that cannot be served in time. If it is refused
        // immediately, its client can try another target; if it waits for its turn, it fails in any
        // case.
        @Test
        void shouldRefuseOnArrivalWhenTheQueueAheadIsTooLong() {
            AdmissionPolicyDriver driver = slowTarget();
            List<AdmissionAction> actions =
                    driver.arrive(driver.newRequest(0, 1, 2_000, 500, Optional.empty()), 2_000);

            assertThat(codes(actions)).containsExactly(ErrorCode.CANNOT_MEET_CLASS);
            assertThat(((AdmissionAction.Refuse) actions.get(0)).retryAfterMillis()).isAtLeast(100);
        }

        @Test
        void shouldRefuseAWaitingRequestWhenTheTargetSlowsDown() {
            AdmissionPolicyDriver driver = slowTarget();
            AdmissionRequest waiting = driver.newRequest(0, 1, 2_000, 2_500, Optional.empty());
            assertThat(codes(driver.arrive(waiting, 2_000))).isEmpty();

            List<AdmissionAction> actions = driver.handle(new AdmissionMessage.Tick(), 4_000);

            assertThat(codes(actions)).containsExactly(ErrorCode.CANNOT_MEET_CLASS);
        }

        @Test
        void shouldRefuseWhenTheWaitLimitHasPassed() {
            AdmissionPolicyDriver driver =
                    new AdmissionPolicyDriver(
                            FairAdmission.of(AdmissionPolicyDriver.limits(1, 10, 10, 1)));
            driver.arrive(0, AdmissionPolicyDriver.SHORT, 1);
            driver.arrive(driver.newRequest(0, 1, 0, 50, Optional.empty()), 0);

            assertThat(codes(driver.handle(new AdmissionMessage.Tick(), 50)))
                    .containsExactly(ErrorCode.DEADLINE_BEFORE_START);
        }

        // The engine was slow for a while. If requests were refused on the old measurements alone,
        // no new measurement would be taken and all requests would be refused from then on.
        @Test
        void shouldAdmitARequestWhenNothingIsQueuedAheadOfIt() {
            AdmissionPolicyDriver driver = slowTarget();
            driver.endOldest(OptionalInt.empty(), 3_000);

            assertThat(
                            driver.arrive(
                                            driver.newRequest(0, 1, 3_000, 10, Optional.empty()),
                                            3_000)
                                    .get(0))
                    .isInstanceOf(AdmissionAction.Start.class);
        }

        // Returns a target with one slot, requests that occupy it for one second, and one request
        // running.
        private AdmissionPolicyDriver slowTarget() {
            AdmissionPolicyDriver driver =
                    new AdmissionPolicyDriver(
                            FairAdmission.of(AdmissionPolicyDriver.limits(1, 10, 10, 1)));
            driver.arrive(driver.newRequest(0, 1, 0, 9_000, Optional.empty()), 0);
            driver.endOldest(OptionalInt.empty(), 1_000);
            driver.arrive(driver.newRequest(0, 1, 1_000, 9_000, Optional.empty()), 1_000);
            return driver;
        }
    }

    @Nested
    class Needs {
        private static final Need NEED = Need.of(ModelId.of("m"));

        @Test
        void shouldStartWhenTheModelBecomesReady() {
            FairAdmission policy = FairAdmission.of(AdmissionPolicyDriver.limits(1, 10, 10, 1));
            AdmissionPolicyDriver driver = new AdmissionPolicyDriver(policy);
            driver.arrive(driver.newRequest(0, 1, 0, 500, Optional.of(NEED)), 0);
            assertThat(policy.unmetNeeds()).containsExactly(NEED);

            List<AdmissionAction> actions =
                    driver.handle(new AdmissionMessage.ReadyChanged(Set.of(NEED)), 100);

            assertThat(actions.get(0)).isInstanceOf(AdmissionAction.Start.class);
        }

        @Test
        void shouldRefuseOnlyRequestsThatCannotWaitForASlowLoad() {
            FairAdmission policy = FairAdmission.of(AdmissionPolicyDriver.limits(1, 10, 10, 1));
            AdmissionPolicyDriver driver = new AdmissionPolicyDriver(policy);
            driver.arrive(driver.newRequest(0, 1, 0, 500, Optional.of(NEED)), 0);
            driver.arrive(driver.newRequest(0, 1, 0, 5_000, Optional.of(NEED)), 0);

            List<AdmissionAction> actions =
                    driver.handle(new AdmissionMessage.NeedDelayed(NEED, 2_000), 0);

            assertThat(codes(actions)).containsExactly(ErrorCode.MODEL_NOT_RESIDENT);
            assertThat(policy.queued()).isEqualTo(1);
        }
    }

    private static AdmissionRequest requestWithLongWaitLimit(
            AdmissionPolicyDriver driver, int account) {
        return driver.newRequest(account, 1, 0, 100_000, Optional.empty());
    }

    private static List<ErrorCode> codes(List<AdmissionAction> actions) {
        return actions.stream()
                .filter(action -> action instanceof AdmissionAction.Refuse)
                .map(action -> ((AdmissionAction.Refuse) action).code())
                .toList();
    }
}
