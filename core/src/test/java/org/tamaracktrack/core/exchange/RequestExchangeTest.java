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
    private static final AttemptId FIRST = AttemptId.of(IncarnationId.of("entry-1"), 1, 0);
    private static final TargetId TARGET = TargetId.of("engine-1");
    private static final Message.Load LOAD =
            new Message.Load(TARGET, 0, false, 0, 0, Map.of(), List.of(), List.of(), List.of());

    @Group
    @Nested
    class Schedules {
        // The caller sees one answer, whole and of one attempt, or an error that tells the truth
        // about whether the request ran; what may not be repeated is never sent a second time.
        @Property(seed = "4711", tries = 20_000)
        void shouldAnswerOnceAndTruthfully(@ForAll long seed) {
            new ExchangeSchedule(seed).run();
        }

        @Test
        void shouldBringAboutEveryEnding() {
            List<String> endings =
                    LongStream.range(0, 2_000)
                            .mapToObj(seed -> new ExchangeSchedule(seed).run())
                            .map(ending -> ending.map(Object::getClass).orElseThrow())
                            .map(Class::getSimpleName)
                            .distinct()
                            .collect(Collectors.toList());

            assertThat(endings)
                    .containsExactly(
                            "AnswerWhole", "AnswerEnd", "AnswerError", "CutCaller", "String");
        }

        // For longer runs: mvn test -pl core -Dtest=RequestExchangeTest
        // -DargLine="-Dschedules=1000000"
        @Test
        void shouldHoldInAsManyDrawnSchedulesAsAskedFor() {
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

    private static RequestExchange sent(boolean idempotent) {
        RequestExchange exchange =
                RequestExchange.of(
                        new ExchangeFacts(FIRST, idempotent, false, 1_000, 100, 100, 1),
                        RetryPolicy.of(RetryBudget.of(0)));
        exchange.handle(new ExchangeEvent.Begun(), 0);
        exchange.handle(new ExchangeEvent.Chosen(FIRST, TARGET), 0);
        return exchange;
    }

    private static ExchangeEvent refused(AttemptId attempt, ErrorCode code, long retryAfter) {
        return new ExchangeEvent.Received(new Message.Refused(attempt, code, retryAfter, LOAD));
    }

    private static Object answer(List<ExchangeAction> actions) {
        return actions.stream()
                .filter(ExchangeAction.AnswerError.class::isInstance)
                .findFirst()
                .orElseThrow();
    }

    @Nested
    class NotRun {
        // A cut after the request was queued on the connection: the target may have read it and
        // may run it yet, so the caller may not be told that it did not run.
        @Test
        void shouldSayUnknownWhenTheConnectionBreaksAfterTheRequestWasQueued() {
            assertThat(answer(sent(false).handle(new ExchangeEvent.ConnectionLost(FIRST), 5)))
                    .isEqualTo(
                            new ExchangeAction.AnswerError(
                                    ErrorCode.OUTCOME_UNKNOWN, Ran.UNKNOWN, -1));
        }

        // The first attempt was lost, the second refused: that the second did not run says nothing
        // of the first, so the request as a whole is unknown.
        @Test
        void shouldSayUnknownWhenALaterAttemptIsRefusedAfterOneWasLost() {
            RequestExchange exchange = sent(true);
            AttemptId second = FIRST.next();
            exchange.handle(new ExchangeEvent.ConnectionLost(FIRST), 5);
            exchange.handle(new ExchangeEvent.Chosen(second, TargetId.of("engine-2")), 6);
            Message refusal =
                    new Message.Refused(second, ErrorCode.DEADLINE_BEFORE_START, -1, LOAD);

            assertThat(answer(exchange.handle(new ExchangeEvent.Received(refusal), 7)))
                    .isEqualTo(
                            new ExchangeAction.AnswerError(
                                    ErrorCode.OUTCOME_UNKNOWN, Ran.UNKNOWN, -1));
        }

        // The home of the model has no room, and the next target has not got the model. What the
        // caller needs to know is the first.
        @Test
        void shouldNameTheWantOfRoomWhenALaterTargetHasNotGotTheModel() {
            RequestExchange exchange = sent(true);
            AttemptId second = FIRST.next();
            exchange.handle(refused(FIRST, ErrorCode.CANNOT_MEET_CLASS, 70), 5);
            exchange.handle(new ExchangeEvent.Chosen(second, TargetId.of("engine-2")), 6);
            exchange.handle(refused(second, ErrorCode.MODEL_NOT_RESIDENT, 9), 7);

            assertThat(
                            answer(
                                    exchange.handle(
                                            new ExchangeEvent.NoTarget(
                                                    second.next(), ErrorCode.NO_TARGET, 5),
                                            8)))
                    .isEqualTo(
                            new ExchangeAction.AnswerError(
                                    ErrorCode.CANNOT_MEET_CLASS, Ran.NO, 70));
        }

        // The caller was told at its deadline that nothing ran while a target was being chosen;
        // sending after that would make the answer untrue.
        @Test
        void shouldNotSendWhenTheDeadlineWasAnsweredBeforeATargetWasChosen() {
            RequestExchange exchange =
                    RequestExchange.of(
                            new ExchangeFacts(FIRST, true, false, 1_000, 100, 100, 1),
                            RetryPolicy.of(RetryBudget.of(0)));
            exchange.handle(new ExchangeEvent.Begun(), 0);
            exchange.handle(new ExchangeEvent.DeadlinePassed(), 1_000);

            assertThat(exchange.handle(new ExchangeEvent.Chosen(FIRST, TARGET), 1_001)).isEmpty();
        }

        // The process was paused between the choice and the sending, past the deadline.
        @Test
        void shouldNotSendWhenTheDeadlineHasPassedAtTheChoice() {
            RequestExchange exchange =
                    RequestExchange.of(
                            new ExchangeFacts(FIRST, true, false, 1_000, 100, 100, 1),
                            RetryPolicy.of(RetryBudget.of(0)));
            exchange.handle(new ExchangeEvent.Begun(), 0);
            List<ExchangeAction> actions =
                    exchange.handle(new ExchangeEvent.Chosen(FIRST, TARGET), 1_000);

            assertThat(answer(actions))
                    .isEqualTo(
                            new ExchangeAction.AnswerError(
                                    ErrorCode.DEADLINE_BEFORE_START, Ran.NO, 1_000));
        }
    }
}
