package org.tamaracktrack.core.exchange;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.stream.Collectors;
import java.util.stream.LongStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Group;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.tamaracktrack.core.error.ErrorCode;
import org.tamaracktrack.core.error.Ran;
import org.tamaracktrack.core.id.AttemptId;
import org.tamaracktrack.core.id.IncarnationId;
import org.tamaracktrack.core.id.TargetId;
import org.tamaracktrack.core.message.Message;
import org.tamaracktrack.core.retry.RetryBudget;
import org.tamaracktrack.core.retry.RetryPolicy;

class RequestExchangeTest {
    private static final AttemptId FIRST_ATTEMPT = AttemptId.of(IncarnationId.of("entry-1"), 1, 0);
    private static final TargetId TARGET = TargetId.of("engine-1");
    private static final Message.Load LOAD =
            new Message.Load(TARGET, 0, false, 0, 0, Map.of(), List.of(), List.of(), List.of());

    @Group
    @Nested
    class Schedules {
        // The caller must get one answer that is complete and from a single attempt, or an error
        // that states correctly whether the request ran. A request that is not idempotent must
        // never be sent twice.
        @Property(seed = "4711", tries = 20_000)
        void shouldAnswerOnceAndReportCorrectlyWhetherTheRequestRan(@ForAll long seed) {
            new ExchangeSchedule(seed).run();
        }

        @Test
        void shouldProduceEveryOutcome() {
            List<String> outcomes =
                    LongStream.range(0, 2_000)
                            .mapToObj(seed -> new ExchangeSchedule(seed).run())
                            .map(outcome -> outcome.map(Object::getClass).orElseThrow())
                            .map(Class::getSimpleName)
                            .distinct()
                            .collect(Collectors.toList());

            assertThat(outcomes)
                    .containsExactly(
                            "AnswerWhole", "AnswerEnd", "AnswerError", "CutCaller", "String");
        }

        // For longer runs: mvn test -pl core -Dtest=RequestExchangeTest
        // -DargLine="-Dschedules=1000000"
        @Test
        void shouldHoldInTheConfiguredNumberOfRandomSchedules() {
            Random seeds = new Random();
            for (int run = 0; run < Integer.getInteger("schedules", 0); run++) {
                long seed = seeds.nextLong();
                try {
                    new ExchangeSchedule(seed).run();
                } catch (AssertionError failure) {
                    throw new AssertionError("seed " + seed, failure);
                }
            }
        }
    }

    private static RequestExchange sentExchange(boolean idempotent) {
        RequestExchange exchange =
                RequestExchange.of(
                        new ExchangeParameters(
                                FIRST_ATTEMPT, idempotent, false, 1_000, 100, 100, 1),
                        RetryPolicy.of(RetryBudget.of(0)));
        exchange.handle(new ExchangeEvent.Ready(), 0);
        exchange.handle(new ExchangeEvent.TargetChosen(FIRST_ATTEMPT, TARGET), 0);
        return exchange;
    }

    private static ExchangeEvent refused(AttemptId attempt, ErrorCode code, long retryAfter) {
        return new ExchangeEvent.Received(new Message.Refused(attempt, code, retryAfter, LOAD));
    }

    private static Object errorIn(List<ExchangeAction> actions) {
        return actions.stream()
                .filter(ExchangeAction.AnswerError.class::isInstance)
                .findFirst()
                .orElseThrow();
    }

    @Nested
    class NotRun {
        // The connection closes after the request was queued on it. The target may have read the
        // request and may still run it, so the caller must not be told that it did not run.
        @Test
        void shouldReportUnknownWhenTheConnectionClosesAfterTheRequestWasQueued() {
            assertThat(
                            errorIn(
                                    sentExchange(false)
                                            .handle(
                                                    new ExchangeEvent.ConnectionLost(FIRST_ATTEMPT),
                                                    5)))
                    .isEqualTo(
                            new ExchangeAction.AnswerError(
                                    ErrorCode.OUTCOME_UNKNOWN, Ran.UNKNOWN, -1));
        }

        // The first attempt was lost and the second refused. That the second did not run says
        // nothing about the first, so the outcome of the request is unknown.
        @Test
        void shouldReportUnknownWhenALaterAttemptIsRefusedAfterOneWasLost() {
            RequestExchange exchange = sentExchange(true);
            AttemptId second = FIRST_ATTEMPT.next();
            exchange.handle(new ExchangeEvent.ConnectionLost(FIRST_ATTEMPT), 5);
            exchange.handle(new ExchangeEvent.TargetChosen(second, TargetId.of("engine-2")), 6);
            Message refusal =
                    new Message.Refused(second, ErrorCode.DEADLINE_BEFORE_START, -1, LOAD);

            assertThat(errorIn(exchange.handle(new ExchangeEvent.Received(refusal), 7)))
                    .isEqualTo(
                            new ExchangeAction.AnswerError(
                                    ErrorCode.OUTCOME_UNKNOWN, Ran.UNKNOWN, -1));
        }

        // The target that holds the model has no capacity, and the next target does not hold the
        // model. The caller needs the first reason.
        @Test
        void shouldReportTheCapacityRefusalWhenALaterTargetDoesNotHoldTheModel() {
            RequestExchange exchange = sentExchange(true);
            AttemptId second = FIRST_ATTEMPT.next();
            exchange.handle(refused(FIRST_ATTEMPT, ErrorCode.CANNOT_MEET_CLASS, 70), 5);
            exchange.handle(new ExchangeEvent.TargetChosen(second, TargetId.of("engine-2")), 6);
            exchange.handle(refused(second, ErrorCode.MODEL_NOT_RESIDENT, 9), 7);

            assertThat(
                            errorIn(
                                    exchange.handle(
                                            new ExchangeEvent.NoTarget(
                                                    second.next(), ErrorCode.NO_TARGET, 5),
                                            8)))
                    .isEqualTo(
                            new ExchangeAction.AnswerError(
                                    ErrorCode.CANNOT_MEET_CLASS, Ran.NO, 70));
        }

        // At its deadline the caller was told that nothing ran, while a target was still being
        // chosen. Sending afterwards would make that answer wrong.
        @Test
        void shouldNotSendWhenTheDeadlineWasAnsweredBeforeATargetWasChosen() {
            RequestExchange exchange =
                    RequestExchange.of(
                            new ExchangeParameters(FIRST_ATTEMPT, true, false, 1_000, 100, 100, 1),
                            RetryPolicy.of(RetryBudget.of(0)));
            exchange.handle(new ExchangeEvent.Ready(), 0);
            exchange.handle(new ExchangeEvent.DeadlinePassed(), 1_000);

            assertThat(
                            exchange.handle(
                                    new ExchangeEvent.TargetChosen(FIRST_ATTEMPT, TARGET), 1_001))
                    .isEmpty();
        }

        // The process was paused past the deadline between the choice of a target and the sending.
        @Test
        void shouldNotSendWhenTheDeadlinePassedBeforeTheTargetWasChosen() {
            RequestExchange exchange =
                    RequestExchange.of(
                            new ExchangeParameters(FIRST_ATTEMPT, true, false, 1_000, 100, 100, 1),
                            RetryPolicy.of(RetryBudget.of(0)));
            exchange.handle(new ExchangeEvent.Ready(), 0);
            List<ExchangeAction> actions =
                    exchange.handle(new ExchangeEvent.TargetChosen(FIRST_ATTEMPT, TARGET), 1_000);

            assertThat(errorIn(actions))
                    .isEqualTo(
                            new ExchangeAction.AnswerError(
                                    ErrorCode.DEADLINE_BEFORE_START, Ran.NO, 1_000));
        }
    }
}
