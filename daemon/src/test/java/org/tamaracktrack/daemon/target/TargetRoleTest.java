package org.tamaracktrack.daemon.target;

import static com.google.common.truth.Truth.assertThat;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.tamaracktrack.core.error.ErrorCode;
import org.tamaracktrack.core.error.Ran;
import org.tamaracktrack.core.log.LogEntry;
import org.tamaracktrack.core.log.LogStream;
import org.tamaracktrack.core.message.Message;
import org.tamaracktrack.link.http.HttpFailure;

@Timeout(30)
class TargetRoleTest {
    private static final String EVENTS = "text/event-stream";
    private static final String LAST_EVENT =
            "data: {\"usage\":{\"prompt_tokens\":3,\"completion_tokens\":9}}\n\ndata: [DONE]\n\n";

    private TargetFixture target;

    @AfterEach
    void stop() {
        target.close();
    }

    @Nested
    class Answers {

        @Test
        void shouldLoadTheModelAndPassTheAnswerOnWhenARequestNeedsIt() {
            target = TargetFixture.engine(1);
            FakeConnection entry = target.connect();
            Message.Submit submit = target.submit(entry, TargetFixture.MODEL);

            FakeHttp.Call call = target.http.nextCall();
            call.head(200, EVENTS).bytes("data: {}\n\n").bytes(LAST_EVENT).end();

            assertThat(call.request().headers()).containsEntry("X-Model", "approval");
            assertThat(call.request().headers())
                    .containsEntry("X-Request-Id", submit.attempt().toString());
            assertThat(call.request().headers()).containsEntry("X-Priority", "3");
            assertThat(entry.next(Message.Started.class).status()).isEqualTo(200);
            assertThat(entry.next(Message.Chunk.class).sequence()).isEqualTo(0);
            assertThat(entry.next(Message.Chunk.class).sequence()).isEqualTo(1);
            Message.Finished finished = entry.next(Message.Finished.class);
            assertThat(finished.chunks()).isEqualTo(2);
            assertThat(finished.promptTokens()).isEqualTo(3);
            assertThat(finished.answerTokens()).isEqualTo(9);
            assertThat(finished.load().resident()).containsExactly(TargetFixture.MODEL);
        }

        @Test
        void shouldPassMethodPathStatusAndHeadersWhenAServiceIsCalled() {
            target = TargetFixture.service();
            FakeConnection entry = target.connect();
            target.submitToService(entry);

            FakeHttp.Call call = target.http.nextCall();
            call.head(404, "application/json").bytes("{}").end();

            assertThat(call.request().method()).isEqualTo("PUT");
            assertThat(call.request().path()).isEqualTo("/charges/7?dry=1");
            assertThat(call.request().headers()).containsEntry("idempotency-key", "k1");
            Message.Started started = entry.next(Message.Started.class);
            assertThat(started.status()).isEqualTo(404);
            assertThat(started.headers()).containsEntry("content-type", "application/json");
            assertThat(entry.next(Message.Finished.class).chunks()).isEqualTo(1);
        }

        // The engine dies between two events and its connection closes in good order. Passed on as
        // an end, the caller would take half an approval note for a whole one.
        @Test
        void shouldSayCutWhenAStreamEndsWithoutItsEndMark() {
            target = TargetFixture.engine(1);
            FakeConnection entry = target.connect();
            target.submit(entry, TargetFixture.MODEL);

            target.http.nextCall().head(200, EVENTS).bytes("data: {}\n\n").end();

            Message.Failed failed = entry.next(Message.Failed.class);
            assertThat(failed.code()).isEqualTo(ErrorCode.ANSWER_CUT);
            assertThat(failed.ran()).isEqualTo(Ran.YES);
        }

        // A caller reads slowly. Without a stop its whole answer would pile up in the entry daemon.
        @Test
        void shouldStopReadingWhenCreditIsSpentAndGoOnWhenThereIsMore() throws Exception {
            target = TargetFixture.engine(1);
            FakeConnection entry = target.connect();
            Message.Submit submit = target.submit(entry, TargetFixture.MODEL, true, 5_000, 10);

            FakeHttp.Call call = target.http.nextCall();
            call.head(200, EVENTS).bytes("data: 0123456789\n\n");
            assertThat(call.awaitPaused()).isTrue();

            target.tell(entry, new Message.Credit(submit.attempt(), 100));
            assertThat(call.isPaused()).isFalse();
            call.bytes(LAST_EVENT).end();
            assertThat(entry.next(Message.Finished.class).chunks()).isEqualTo(2);
        }
    }

    @Nested
    class NotRun {

        @Test
        void shouldRefuseWhenTheEngineSaysThatItDidNotRun() {
            target = TargetFixture.engine(1);
            FakeConnection entry = target.connect();
            target.submit(entry, TargetFixture.MODEL);

            target.http
                    .nextCall()
                    .head(404, "application/json")
                    .bytes("{\"error\":{\"code\":\"model_not_loaded\"}}")
                    .end();

            assertThat(entry.next(Message.Refused.class).code())
                    .isEqualTo(ErrorCode.MODEL_NOT_RESIDENT);
        }

        // Something between target and engine answers 503. Only the engine's own words mean that
        // the request did not run; anything else is passed on as the answer it is.
        @Test
        void shouldPassAnErrorOnWhenItIsNotTheEnginesOwnRefusal() {
            target = TargetFixture.engine(1);
            FakeConnection entry = target.connect();
            target.submit(entry, TargetFixture.MODEL);

            target.http.nextCall().head(503, "text/html").bytes("<html>").end();

            assertThat(entry.next(Message.Started.class).status()).isEqualTo(503);
            assertThat(entry.next(Message.Finished.class).chunks()).isEqualTo(1);
        }

        @Test
        void shouldSayUnknownWhenTheConnectionBreaksBeforeTheAnswer() {
            target = TargetFixture.engine(1);
            FakeConnection entry = target.connect();
            target.submit(entry, TargetFixture.MODEL);

            target.http.nextCall().fail(HttpFailure.NO_ANSWER);

            Message.Failed failed = entry.next(Message.Failed.class);
            assertThat(failed.code()).isEqualTo(ErrorCode.OUTCOME_UNKNOWN);
            assertThat(failed.ran()).isEqualTo(Ran.UNKNOWN);
        }

        // The caller cancels while its request waits behind another, and the slot becomes free at
        // the same moment. It must not start after it was said not to have run.
        @Test
        void shouldNeverStartWhenCancelledWhileWaiting() {
            target = TargetFixture.engine(1);
            FakeConnection entry = target.connect();
            target.submit(entry, TargetFixture.MODEL);
            FakeHttp.Call first = target.http.nextCall();
            Message.Submit second = target.submit(entry, TargetFixture.MODEL);

            target.tell(entry, new Message.Cancel(second.attempt()));
            first.head(200, EVENTS).bytes(LAST_EVENT).end();

            Message.Refused refused = entry.next(Message.Refused.class);
            assertThat(refused.attempt()).isEqualTo(second.attempt());
            assertThat(refused.code()).isEqualTo(ErrorCode.CANCELLED_BEFORE_START);
            entry.next(Message.Finished.class);
            assertThat(target.http.isQuiet()).isTrue();
        }

        @Test
        void shouldCloseTheEnginesConnectionWhenCancelledWhileRunning() {
            target = TargetFixture.engine(1);
            FakeConnection entry = target.connect();
            Message.Submit submit = target.submit(entry, TargetFixture.MODEL);
            FakeHttp.Call call = target.http.nextCall();
            call.head(200, EVENTS);

            target.tell(entry, new Message.Cancel(submit.attempt()));

            Message.Failed failed = entry.next(Message.Failed.class);
            assertThat(failed.code()).isEqualTo(ErrorCode.CANCELLED);
            assertThat(call.isCancelled()).isTrue();
        }

        @Test
        void shouldRefuseWhenTheWaitLimitPassesInTheQueue() {
            target = TargetFixture.engine(1);
            FakeConnection entry = target.connect();
            target.submit(entry, TargetFixture.MODEL);
            target.http.nextCall();

            target.submit(entry, TargetFixture.MODEL, true, 100, 1_000);

            assertThat(entry.next(Message.Refused.class).code())
                    .isEqualTo(ErrorCode.DEADLINE_BEFORE_START);
        }

        // The process freezes after it decided to start a request and before the first byte goes
        // out. When it wakes, the wait limit has passed and the caller has been answered; the
        // request must not run now. The refusal of the second request shows that time has passed.
        @Test
        void shouldNotSendWhenTheWaitLimitPassedBetweenStartAndFirstByte() throws Exception {
            target = TargetFixture.engine(1);
            FakeConnection entry = target.connect();
            target.http.hold();
            Message.Submit frozen = target.submit(entry, TargetFixture.MODEL, false, 4_000, 1_000);
            assertThat(target.http.awaitHeld()).isTrue();
            Message.Submit later = target.submit(entry, TargetFixture.MODEL, false, 4_000, 1_000);
            Message.Refused timeHasPassed = entry.next(Message.Refused.class);
            assertThat(timeHasPassed.attempt()).isEqualTo(later.attempt());
            assertThat(timeHasPassed.code()).isEqualTo(ErrorCode.DEADLINE_BEFORE_START);

            target.http.release();

            Message.Refused refused = entry.next(Message.Refused.class);
            assertThat(refused.attempt()).isEqualTo(frozen.attempt());
            assertThat(refused.code()).isEqualTo(ErrorCode.DEADLINE_BEFORE_START);
            assertThat(target.http.isQuiet()).isTrue();
        }

        // With the log out this process has no fencing number, so it must not order a load; the
        // caller is told at once instead of waiting for a model that can't come.
        @Test
        void shouldRefuseAtOnceWhenTheModelIsMissingAndTheLogIsOut() {
            target = TargetFixture.engineWithLogOut();
            FakeConnection entry = target.connect();
            target.submit(entry, TargetFixture.MODEL);

            assertThat(entry.next(Message.Refused.class).code())
                    .isEqualTo(ErrorCode.MODEL_NOT_RESIDENT);
            assertThat(target.http.orders()).isEmpty();
        }
    }

    @Nested
    class LostConnections {

        // The entry daemon dies. An idempotent request is stopped, since it will be asked again
        // elsewhere; one that may run once only is left to finish rather than broken off half-way.
        @Test
        void shouldStopOnlyWhatMayRunAgainWhenTheEntryIsLost() {
            target = TargetFixture.engine(2);
            FakeConnection entry = target.connect();
            target.submit(entry, TargetFixture.MODEL, true, 5_000, 1_000);
            FakeHttp.Call repeatable = target.http.nextCall();
            target.submit(entry, TargetFixture.MODEL, false, 5_000, 1_000);
            FakeHttp.Call once = target.http.nextCall();
            FakeConnection other = target.connect();

            target.disconnect(entry);
            target.tell(other, new Message.LoadQuery());
            other.next(Message.LoadReport.class);
            other.next(Message.LoadReport.class);

            assertThat(repeatable.isCancelled()).isTrue();
            assertThat(once.isCancelled()).isFalse();
            once.head(200, EVENTS).bytes(LAST_EVENT).end();
        }
    }

    @Nested
    class Leaving {

        // An operator stops the process while an answer streams. The stream ends whole, new work is
        // refused as not run, and the process says so before the caller notices anything.
        @Test
        void shouldFinishWhatRunsAndRefuseWhatIsNewWhenStopped() throws Exception {
            target = TargetFixture.engine(1);
            FakeConnection entry = target.connect();
            target.submit(entry, TargetFixture.MODEL);
            FakeHttp.Call call = target.http.nextCall();
            call.head(200, EVENTS);

            CompletableFuture<Boolean> drained = CompletableFuture.supplyAsync(target.role::drain);
            entry.next(Message.Leaving.class);
            target.submit(entry, TargetFixture.MODEL);
            assertThat(entry.next(Message.Refused.class).code()).isEqualTo(ErrorCode.LEAVING);
            assertThat(target.role.ready()).isFalse();
            call.bytes(LAST_EVENT).end();

            entry.next(Message.Finished.class);
            assertThat(drained.get(10, TimeUnit.SECONDS)).isTrue();
            assertThat(lastCounters().last()).isTrue();
        }

        @Test
        void shouldSayUnknownWhenTheTimeForAStopIsOver() throws Exception {
            target = TargetFixture.engine(1);
            FakeConnection entry = target.connect();
            target.submit(entry, TargetFixture.MODEL);
            target.http.nextCall();

            boolean whole =
                    CompletableFuture.supplyAsync(target.role::drain).get(10, TimeUnit.SECONDS);

            assertThat(whole).isFalse();
            assertThat(entry.next(Message.Failed.class).ran()).isEqualTo(Ran.UNKNOWN);
        }

        @Test
        void shouldLeaveWhenAnOperatorAsksAndComeBackWhenItIsTakenBack() {
            target = TargetFixture.engine(1);
            FakeConnection entry = target.connect();

            target.log.append(
                    LogStream.OWNERSHIP,
                    new LogEntry.DrainRequested(TargetFixture.TARGET, true, "ana"));
            entry.next(Message.Leaving.class);
            target.submit(entry, TargetFixture.MODEL);
            assertThat(entry.next(Message.Refused.class).code()).isEqualTo(ErrorCode.LEAVING);

            target.log.append(
                    LogStream.OWNERSHIP,
                    new LogEntry.DrainRequested(TargetFixture.TARGET, false, "ana"));
            Message.LoadReport back = entry.next(Message.LoadReport.class);
            assertThat(back.load().leaving()).isFalse();
        }

        private LogEntry.CountersPublished lastCounters() {
            var counters = target.log.entries(LogStream.REPORTS, LogEntry.CountersPublished.class);
            return counters.get(counters.size() - 1);
        }
    }

    @Nested
    class Orders {

        @Test
        void shouldWriteAnIntentBeforeEachOrderWhenTheEngineIgnoresFencing() {
            target = TargetFixture.engine(1);
            FakeConnection entry = target.connect();
            target.submit(entry, TargetFixture.MODEL);
            target.http.nextCall().head(200, EVENTS).bytes(LAST_EVENT).end();
            entry.next(Message.Finished.class);

            assertThat(target.http.orders())
                    .containsExactlyElementsIn(
                            target
                                    .log
                                    .entries(LogStream.OWNERSHIP, LogEntry.OrderIntent.class)
                                    .stream()
                                    .map(LogEntry.OrderIntent::order)
                                    .toList());
        }

        // Both models do not fit at once. Both callers get their answers: the idle one is unloaded
        // for the other, and never while a request runs on it.
        @Test
        void shouldSwapModelsWhenTheyDoNotFitTogether() {
            target = TargetFixture.engine(1);
            FakeConnection entry = target.connect();
            target.submit(entry, TargetFixture.MODEL);
            FakeHttp.Call first = target.http.nextCall();
            target.submit(entry, TargetFixture.OTHER_MODEL);
            first.head(200, EVENTS).bytes(LAST_EVENT).end();

            FakeHttp.Call second = target.http.nextCall();

            assertThat(second.request().headers()).containsEntry("X-Model", "portal");
            assertThat(target.http.orders()).hasSize(3);
            second.head(200, EVENTS).bytes(LAST_EVENT).end();
        }

        @Test
        void shouldRefuseAsUnavailableWhenTheEngineIsUnreachable() {
            target = TargetFixture.engine(1);
            FakeConnection entry = target.connect();
            target.submit(entry, TargetFixture.MODEL);
            target.http.nextCall().head(200, EVENTS).bytes(LAST_EVENT).end();
            entry.next(Message.Finished.class);
            target.http.reachable(false);

            target.submit(entry, TargetFixture.MODEL);

            assertThat(entry.next(Message.Refused.class).code())
                    .isEqualTo(ErrorCode.ENGINE_UNAVAILABLE);
        }
    }
}
