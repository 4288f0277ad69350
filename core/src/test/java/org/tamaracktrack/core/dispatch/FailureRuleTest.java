package org.tamaracktrack.core.dispatch;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.tamaracktrack.core.dispatch.FailureRule.History;
import org.tamaracktrack.core.dispatch.FailureRule.Next;
import org.tamaracktrack.core.dispatch.FailureRule.Payment;
import org.tamaracktrack.core.id.ServiceId;
import org.tamaracktrack.core.route.Route;
import org.tamaracktrack.core.route.RouteKind;
import org.tamaracktrack.core.route.WeightedService;

class FailureRuleTest {
    private static final long ENOUGH_MILLIS = 1_000;

    private final RetryAllowance plenty =
            RetryAllowance.of(new FleetRetryBudget(0, 10_000, 100), now -> 1);
    private final RetryAllowance none =
            RetryAllowance.of(new FleetRetryBudget(0, 10_000, 0), now -> 1);

    private static Route route(RouteKind kind, boolean resumable, int attempts) {
        return new Route(
                "route",
                "host",
                "/",
                kind,
                resumable,
                10_000,
                100,
                0,
                attempts,
                List.of(new WeightedService(ServiceId.of("service"), 1)));
    }

    private Next next(Route route, AttemptEnd end, History history) {
        return FailureRule.next(route, end, history, ENOUGH_MILLIS, plenty, 0).next();
    }

    @Nested
    class Counts {
        private final History history = new History(1, 2, 3, true);

        @Test
        void shouldKnowOfNothingWhenNothingWasSent() {
            assertThat(History.none()).isEqualTo(new History(0, 0, 0, false));
        }

        @Test
        void shouldCountEachAttemptByItsEnd() {
            assertThat(history.after(AttemptEnd.NOT_SENT)).isEqualTo(new History(2, 2, 3, true));
            assertThat(history.after(AttemptEnd.REFUSED)).isEqualTo(new History(1, 3, 3, true));
        }

        // Guards against an order that goes out again though a target may have run it.
        @Test
        void shouldCountAsRunWhatWasSentAndNotRefused() {
            History ran = new History(1, 2, 4, true);

            assertThat(history.after(AttemptEnd.FAILED)).isEqualTo(ran);
            assertThat(history.after(AttemptEnd.LOST)).isEqualTo(ran);
            assertThat(history.after(AttemptEnd.CUT)).isEqualTo(ran);
        }

        @Test
        void shouldCountNothingWhenAnAttemptWasKeptBack() {
            assertThat(history.after(AttemptEnd.WITHHELD)).isEqualTo(history);
        }

        @Test
        void shouldNoteWhetherAPartOfTheAnswerWentOut() {
            assertThat(history.begun(false)).isEqualTo(new History(1, 2, 3, false));
            assertThat(history.begun(false).begun(true)).isEqualTo(history);
        }
    }

    @Nested
    class NonIdempotent {
        private final Route order = route(RouteKind.NON_IDEMPOTENT, false, 3);

        // An order is sent and its connection breaks without an answer. It may have run: sent
        // again it would be doubled, and "not run" would be untrue.
        @Test
        void shouldSayTheOutcomeIsUnknownWhenAnAttemptWasLost() {
            assertThat(next(order, AttemptEnd.LOST, new History(0, 0, 1, false)))
                    .isEqualTo(Next.UNKNOWN);
            assertThat(next(order, AttemptEnd.CUT, new History(0, 0, 1, false)))
                    .isEqualTo(Next.UNKNOWN);
        }

        // Every sequence of ends: once it may have run, it never goes out again and is never
        // called refused.
        @Test
        void shouldNeverRepeatNorRefuseWhenItMayHaveRun() {
            Arrays.stream(AttemptEnd.values())
                    .forEach(
                            end -> {
                                Next next = next(order, end, new History(1, 1, 1, false));
                                assertWithMessage("after %s", end)
                                        .that(next)
                                        .isNotEqualTo(Next.AGAIN);
                                assertWithMessage("after %s", end)
                                        .that(next)
                                        .isNotEqualTo(Next.REFUSE);
                            });
        }

        @Test
        void shouldGoElsewhereWhenTheTargetSaysItDidNotRun() {
            assertThat(next(order, AttemptEnd.REFUSED, new History(0, 1, 0, false)))
                    .isEqualTo(Next.AGAIN);
            assertThat(next(order, AttemptEnd.NOT_SENT, new History(1, 0, 0, false)))
                    .isEqualTo(Next.AGAIN);
        }

        @Test
        void shouldPassTheTargetsFailureOnWhenItRan() {
            assertThat(next(order, AttemptEnd.FAILED, new History(0, 0, 1, false)))
                    .isEqualTo(Next.PASS_ON);
        }
    }

    @Nested
    class Idempotent {
        private final Route lookup = route(RouteKind.IDEMPOTENT, false, 2);

        @Test
        void shouldRepeatUpToTheRoutesAttemptsWhenLost() {
            assertThat(next(lookup, AttemptEnd.LOST, new History(0, 0, 1, false)))
                    .isEqualTo(Next.AGAIN);
            assertThat(next(lookup, AttemptEnd.LOST, new History(0, 0, 2, false)))
                    .isEqualTo(Next.UNKNOWN);
        }

        // A first attempt is lost and the second is refused. The first may have run, so "not run"
        // would be untrue.
        @Test
        void shouldNotCallItRefusedWhenAnEarlierAttemptWasLost() {
            Next next =
                    FailureRule.next(
                                    lookup,
                                    AttemptEnd.REFUSED,
                                    new History(0, 1, 1, false),
                                    ENOUGH_MILLIS,
                                    none,
                                    0)
                            .next();

            assertThat(next).isEqualTo(Next.UNKNOWN);
        }

        @Test
        void shouldSayWhatPaidForARepeat() {
            assertThat(verdict(AttemptEnd.REFUSED, plenty).payment()).isEqualTo(Payment.PAID);
            assertThat(verdict(AttemptEnd.REFUSED, none).payment()).isEqualTo(Payment.DENIED);
            assertThat(verdict(AttemptEnd.NOT_SENT, none).payment()).isEqualTo(Payment.FREE);
            assertThat(
                            FailureRule.next(
                                            lookup,
                                            AttemptEnd.LOST,
                                            new History(0, 0, 2, false),
                                            ENOUGH_MILLIS,
                                            plenty,
                                            0)
                                    .payment())
                    .isEqualTo(Payment.NONE);
        }

        private FailureRule.Verdict verdict(AttemptEnd end, RetryAllowance allowance) {
            return FailureRule.next(
                    lookup, end, new History(0, 1, 0, false), ENOUGH_MILLIS, allowance, 0);
        }

        // All targets refuse. With the shared allowance used up, repeats would multiply the load.
        @Test
        void shouldRefuseWhenTheAllowanceIsUsedUp() {
            Next next =
                    FailureRule.next(
                                    lookup,
                                    AttemptEnd.REFUSED,
                                    new History(0, 1, 0, false),
                                    ENOUGH_MILLIS,
                                    none,
                                    0)
                            .next();

            assertThat(next).isEqualTo(Next.REFUSE);
        }
    }

    @Nested
    class Streams {

        // A stream breaks off after events went to the caller. Where it can't be resumed, an
        // orderly end would make a part look whole.
        @Test
        void shouldBreakOffWhenAStreamCannotBeResumed() {
            Route stream = route(RouteKind.STREAMING, false, 2);

            assertThat(next(stream, AttemptEnd.CUT, new History(0, 0, 1, true)))
                    .isEqualTo(Next.BREAK);
        }

        @Test
        void shouldGoOnElsewhereWhenAStreamCanBeResumed() {
            Route stream = route(RouteKind.STREAMING, true, 2);

            assertThat(next(stream, AttemptEnd.CUT, new History(0, 0, 1, true)))
                    .isEqualTo(Next.AGAIN);
        }

        @Test
        void shouldGiveUpWhenTooLittleTimeIsLeft() {
            Route stream = route(RouteKind.STREAMING, true, 2);

            assertThat(
                            FailureRule.next(
                                            stream,
                                            AttemptEnd.CUT,
                                            new History(0, 0, 1, true),
                                            5,
                                            plenty,
                                            0)
                                    .next())
                    .isEqualTo(Next.BREAK);
        }
    }
}
