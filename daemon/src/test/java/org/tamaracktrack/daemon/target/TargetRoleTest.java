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
        void shouldLoadModelAndForwardAnswerWhenRequestNeedsModel() {
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
        void shouldForwardMethodPathStatusAndHeadersWhenServiceIsCalled() {
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

        // Guards against reporting a truncated answer as complete when the engine crashes between
        // two events and its connection closes properly.
        @Test
        void shouldFailAsCutWhenStreamEndsWithoutEndMarker() {
            target = TargetFixture.engine(1);
            FakeConnection entry = target.connect();
            target.submit(entry, TargetFixture.MODEL);

            target.http.nextCall().head(200, EVENTS).bytes("data: {}\n\n").end();

            Message.Failed failed = entry.next(Message.Failed.class);
            assertThat(failed.code()).isEqualTo(ErrorCode.ANSWER_CUT);
            assertThat(failed.ran()).isEqualTo(Ran.YES);
        }

        // Guards against the answer to a slow caller accumulating in the entry daemon.
        @Test
        void shouldPauseReadingWhenCreditIsSpentAndResumeWhenCreditIsGranted() throws Exception {
            target = TargetFixture.engine(1);
            FakeConnection entry = target.connect();
            Message.Submit submit = target.submit(entry, TargetFixture.MODEL, true, 5_000, 10);

            FakeHttp.Call call = target.http.nextCall();
            call.head(200, EVENTS).bytes("data: 0123456789\n\n");
            assertThat(call.awaitPaused()).isTrue();

            target.deliver(entry, new Message.Credit(submit.attempt(), 100));
            assertThat(call.isPaused()).isFalse();
            call.bytes(LAST_EVENT).end();
            assertThat(entry.next(Message.Finished.class).chunks()).isEqualTo(2);
        }
    }

    @Nested
    class NotRun {

        @Test
        void shouldRefuseWhenEngineReportsThatRequestDidNotRun() {
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

        // Guards against taking a 503 from a proxy between target and engine for a refusal. Only
        // the engine's own error codes show that the request did not run; others are forwarded.
        @Test
        void shouldForwardErrorWhenItIsNotARefusalByTheEngine() {
            target = TargetFixture.engine(1);
            FakeConnection entry = target.connect();
            target.submit(entry, TargetFixture.MODEL);

            target.http.nextCall().head(503, "text/html").bytes("<html>").end();

            assertThat(entry.next(Message.Started.class).status()).isEqualTo(503);
            assertThat(entry.next(Message.Finished.class).chunks()).isEqualTo(1);
        }

        @Test
        void shouldReportUnknownOutcomeWhenConnectionBreaksBeforeAnswer() {
            target = TargetFixture.engine(1);
            FakeConnection entry = target.connect();
            target.submit(entry, TargetFixture.MODEL);

            target.http.nextCall().fail(HttpFailure.NO_ANSWER);

            Message.Failed failed = entry.next(Message.Failed.class);
            assertThat(failed.code()).isEqualTo(ErrorCode.OUTCOME_UNKNOWN);
            assertThat(failed.ran()).isEqualTo(Ran.UNKNOWN);
        }

        // Guards against starting a request that was reported as not run: the caller cancels it
        // while it is queued, and a slot becomes free at the same time.
        @Test
        void shouldNotStartWhenCancelledWhileQueued() {
            target = TargetFixture.engine(1);
            FakeConnection entry = target.connect();
            target.submit(entry, TargetFixture.MODEL);
            FakeHttp.Call first = target.http.nextCall();
            Message.Submit second = target.submit(entry, TargetFixture.MODEL);

            target.deliver(entry, new Message.Cancel(second.attempt()));
            first.head(200, EVENTS).bytes(LAST_EVENT).end();

            Message.Refused refused = entry.next(Message.Refused.class);
            assertThat(refused.attempt()).isEqualTo(second.attempt());
            assertThat(refused.code()).isEqualTo(ErrorCode.CANCELLED_BEFORE_START);
            entry.next(Message.Finished.class);
            assertThat(target.http.hasNoCalls()).isTrue();
        }

        @Test
        void shouldCloseEngineConnectionWhenCancelledWhileRunning() {
            target = TargetFixture.engine(1);
            FakeConnection entry = target.connect();
            Message.Submit submit = target.submit(entry, TargetFixture.MODEL);
            FakeHttp.Call call = target.http.nextCall();
            call.head(200, EVENTS);

            target.deliver(entry, new Message.Cancel(submit.attempt()));

            Message.Failed failed = entry.next(Message.Failed.class);
            assertThat(failed.code()).isEqualTo(ErrorCode.CANCELLED);
            assertThat(call.isCancelled()).isTrue();
        }

        @Test
        void shouldRefuseWhenWaitLimitExpiresInQueue() {
            target = TargetFixture.engine(1);
            FakeConnection entry = target.connect();
            target.submit(entry, TargetFixture.MODEL);
            target.http.nextCall();

            target.submit(entry, TargetFixture.MODEL, true, 100, 1_000);

            assertThat(entry.next(Message.Refused.class).code())
                    .isEqualTo(ErrorCode.DEADLINE_BEFORE_START);
        }

        // Guards against running a request whose caller has been answered: the process is suspended
        // between the decision to start and the first byte, and resumes after the wait limit. The
        // refusal of the second request shows that the limit has passed.
        @Test
        void shouldNotSendWhenWaitLimitExpiresBetweenStartAndFirstByte() throws Exception {
            target = TargetFixture.engine(1);
            FakeConnection entry = target.connect();
            target.http.holdConnections();
            Message.Submit suspended =
                    target.submit(entry, TargetFixture.MODEL, false, 4_000, 1_000);
            assertThat(target.http.awaitHeldConnection()).isTrue();
            Message.Submit later = target.submit(entry, TargetFixture.MODEL, false, 4_000, 1_000);
            Message.Refused laterRefused = entry.next(Message.Refused.class);
            assertThat(laterRefused.attempt()).isEqualTo(later.attempt());
            assertThat(laterRefused.code()).isEqualTo(ErrorCode.DEADLINE_BEFORE_START);

            target.http.releaseConnections();

            Message.Refused refused = entry.next(Message.Refused.class);
            assertThat(refused.attempt()).isEqualTo(suspended.attempt());
            assertThat(refused.code()).isEqualTo(ErrorCode.DEADLINE_BEFORE_START);
            assertThat(target.http.hasNoCalls()).isTrue();
        }

        // Guards against a request waiting for a model that can't be loaded: while the log is
        // unavailable the process has no fencing number and must not order a load.
        @Test
        void shouldRefuseImmediatelyWhenModelIsMissingAndLogIsUnavailable() {
            target = TargetFixture.engineWithUnavailableLog();
            FakeConnection entry = target.connect();
            target.submit(entry, TargetFixture.MODEL);

            assertThat(entry.next(Message.Refused.class).code())
                    .isEqualTo(ErrorCode.MODEL_NOT_RESIDENT);
            assertThat(target.http.orders()).isEmpty();
        }
    }

    @Nested
    class LostConnections {

        // Guards against breaking off a request that is not idempotent when the entry daemon fails.
        // An idempotent request is cancelled, since it will be retried elsewhere.
        @Test
        void shouldCancelOnlyIdempotentRequestsWhenEntryConnectionIsLost() {
            target = TargetFixture.engine(2);
            FakeConnection entry = target.connect();
            target.submit(entry, TargetFixture.MODEL, true, 5_000, 1_000);
            FakeHttp.Call idempotent = target.http.nextCall();
            target.submit(entry, TargetFixture.MODEL, false, 5_000, 1_000);
            FakeHttp.Call notIdempotent = target.http.nextCall();
            FakeConnection other = target.connect();

            target.disconnect(entry);
            target.deliver(other, new Message.LoadQuery());
            other.next(Message.LoadReport.class);
            other.next(Message.LoadReport.class);

            assertThat(idempotent.isCancelled()).isTrue();
            assertThat(notIdempotent.isCancelled()).isFalse();
            notIdempotent.head(200, EVENTS).bytes(LAST_EVENT).end();
        }
    }

    @Nested
    class Leaving {

        // Guards against a planned stop that truncates a streaming answer: the stream completes,
        // new requests are refused as not run, and the process announces that it is leaving first.
        @Test
        void shouldFinishRunningRequestsAndRefuseNewOnesWhenStopped() throws Exception {
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
        void shouldReportUnknownOutcomeWhenDrainDeadlineExpires() throws Exception {
            target = TargetFixture.engine(1);
            FakeConnection entry = target.connect();
            target.submit(entry, TargetFixture.MODEL);
            target.http.nextCall();

            boolean drained =
                    CompletableFuture.supplyAsync(target.role::drain).get(10, TimeUnit.SECONDS);

            assertThat(drained).isFalse();
            assertThat(entry.next(Message.Failed.class).ran()).isEqualTo(Ran.UNKNOWN);
        }

        @Test
        void shouldLeaveWhenOperatorRequestsDrainAndReturnWhenRequestIsWithdrawn() {
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
            Message.LoadReport afterWithdrawal = entry.next(Message.LoadReport.class);
            assertThat(afterWithdrawal.load().leaving()).isFalse();
        }

        private LogEntry.CountersPublished lastCounters() {
            var counters = target.log.entries(LogStream.REPORTS, LogEntry.CountersPublished.class);
            return counters.get(counters.size() - 1);
        }
    }

    @Nested
    class Orders {

        @Test
        void shouldLogIntentBeforeEachOrderWhenEngineIgnoresFencing() {
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

        // Guards against unloading a model while a request runs on it: memory holds only one of two
        // models, and the idle one is unloaded for the other.
        @Test
        void shouldSwapModelsWhenMemoryDoesNotHoldBoth() {
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
        void shouldRefuseAsUnavailableWhenEngineIsUnreachable() {
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
