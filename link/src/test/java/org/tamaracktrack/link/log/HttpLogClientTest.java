package org.tamaracktrack.link.log;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.tamaracktrack.core.error.ErrorCode;
import org.tamaracktrack.core.error.TamaracktrackException;
import org.tamaracktrack.core.id.IncarnationId;
import org.tamaracktrack.core.log.LogEntry;
import org.tamaracktrack.core.log.LogStream;
import org.tamaracktrack.link.http.HttpCall;
import org.tamaracktrack.link.http.HttpCallException;
import org.tamaracktrack.link.http.HttpCaller;
import org.tamaracktrack.link.http.HttpFailure;
import org.tamaracktrack.link.http.HttpListener;
import org.tamaracktrack.link.http.HttpResponse;
import org.tamaracktrack.link.http.HttpStream;

class HttpLogClientTest {
    private static final LogEntry LEASE_RELEASED =
            new LogEntry.LeaseReleased("planner", IncarnationId.of("entry-1"));

    private final ScriptedCaller caller = new ScriptedCaller();
    private final LogClient log =
            HttpLogClient.of(caller, new InetSocketAddress(InetAddress.getLoopbackAddress(), 1));

    @Test
    void shouldReturnTheOffsetWhenTheLogAcceptsTheRecord() {
        caller.addResponse(200, "{\"offset\":7,\"appendedAtMillis\":9}");

        assertThat(log.append(LogStream.PLAN, LEASE_RELEASED))
                .isEqualTo(new LogClient.Appended(7, 9));
    }

    @Test
    void shouldReturnTheOffsetOfARecordThatCannotBeDecoded() {
        caller.addResponse(
                200,
                "{\"firstOffset\":3,\"nextOffset\":5,\"records\":["
                        + "{\"offset\":3,\"appendedAtMillis\":1,\"body\":\"{}\"},"
                        + "{\"offset\":4,\"appendedAtMillis\":2,\"body\":"
                        + "\"{\\\"t\\\":\\\"leaseReleased\\\",\\\"duty\\\":\\\"planner\\\","
                        + "\\\"holder\\\":\\\"entry-1\\\"}\"}]}");

        LogClient.Batch batch = log.read(LogStream.PLAN, 0, 10, 0);

        assertThat(batch.undecodable()).containsExactly(3L);
        assertThat(batch.records().get(0).entry()).isEqualTo(LEASE_RELEASED);
        assertThat(batch.firstOffset()).isEqualTo(3);
    }

    @Nested
    class Failures {

        @Test
        void shouldReportNotWrittenWhenTheLogRefusesTheAppend() {
            caller.addResponse(503, "");
            caller.addResponse(429, "");
            caller.addFailure(HttpFailure.NOT_SENT);

            assertThat(appendFailure()).isEqualTo(ErrorCode.LOG_UNAVAILABLE);
            assertThat(appendFailure()).isEqualTo(ErrorCode.LOG_UNAVAILABLE);
            assertThat(appendFailure()).isEqualTo(ErrorCode.LOG_UNAVAILABLE);
        }

        @Test
        void shouldReportAnUnknownOutcomeWhenTheResponseIsLost() {
            // The record is written but the response is lost. A writer that took this for a refusal
            // would append the record a second time.
            caller.addFailure(HttpFailure.NO_ANSWER);
            caller.addFailure(HttpFailure.TIMED_OUT);
            caller.addFailure(HttpFailure.ANSWER_CUT);
            caller.addResponse(500, "");
            caller.addResponse(200, "garbage");

            for (int tries = 0; tries < 5; tries++) {
                assertThat(appendFailure()).isEqualTo(ErrorCode.LOG_OUTCOME_UNKNOWN);
            }
        }

        private ErrorCode appendFailure() {
            return assertThrows(
                            TamaracktrackException.class,
                            () -> log.append(LogStream.PLAN, LEASE_RELEASED))
                    .code();
        }
    }

    private static final class ScriptedCaller implements HttpCaller {
        private final Deque<Supplier<HttpResponse>> scriptedResults = new ArrayDeque<>();

        void addResponse(int status, String body) {
            scriptedResults.add(
                    () ->
                            new HttpResponse(
                                    status, Map.of(), body.getBytes(StandardCharsets.UTF_8)));
        }

        void addFailure(HttpFailure failure) {
            scriptedResults.add(
                    () -> {
                        throw HttpCallException.of(failure, "scripted");
                    });
        }

        @Override
        public HttpResponse call(HttpCall call) {
            return scriptedResults.remove().get();
        }

        @Override
        public HttpStream stream(HttpCall call, BooleanSupplier maySend, HttpListener listener) {
            throw new UnsupportedOperationException();
        }

        @Override
        public CompletableFuture<Boolean> answersConnections(
                InetSocketAddress address, long limitMillis) {
            return CompletableFuture.completedFuture(true);
        }

        @Override
        public CompletableFuture<Boolean> refusesConnections(
                InetSocketAddress address, long limitMillis) {
            return CompletableFuture.completedFuture(false);
        }

        @Override
        public void limitConnections(InetSocketAddress address, int maximumConnections) {}

        @Override
        public void close() {}
    }
}
