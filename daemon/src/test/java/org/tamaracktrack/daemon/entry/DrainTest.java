package org.tamaracktrack.daemon.entry;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.net.http.HttpResponse;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.tamaracktrack.core.log.LogEntry;
import org.tamaracktrack.core.log.LogStream;

/** Tests that a planned stop of an entry daemon truncates no answers. */
@Timeout(60)
class DrainTest {
    private EntryFixture entry;
    private FakeTarget target;

    @BeforeEach
    void start() {
        entry = EntryFixture.start();
        target = entry.target("engine-1");
        entry.addTargets(target);
    }

    @AfterEach
    void stop() {
        entry.close();
    }

    private CompletableFuture<Boolean> drain() {
        return CompletableFuture.supplyAsync(entry.role::drain);
    }

    // A stream is in progress when the drain begins. Readiness must fail immediately, requests that
    // the load balancer still sends must be served, and the stream must complete.
    @Test
    void shouldFinishStreamsAndServeLateRequestsWhenDraining() throws Exception {
        CompletableFuture<HttpResponse<String>> stream =
                entry.send(entry.completion(",\"stream\":true"));
        FakeTarget.ReceivedSubmit arrived = target.takeSubmit();
        target.sendStarted(arrived.connection(), arrived.submit(), "text/event-stream");
        target.sendChunk(arrived.connection(), arrived.submit(), 0, "data: 1\n\n");

        target.setBehaviour(
                (connection, submit) -> target.sendWholeAnswer(connection, submit, "late"));
        CompletableFuture<Boolean> drained = drain();
        EntryFixture.await(() -> !entry.role.ready());
        assertThat(entry.call(entry.request("/readyz").GET()).statusCode()).isEqualTo(503);
        assertThat(entry.call(entry.completion("")).body()).isEqualTo("late");
        EntryFixture.await(() -> entry.call(entry.completion("")).body().contains("LEAVING"));
        target.sendChunk(arrived.connection(), arrived.submit(), 1, "data: [DONE]\n\n");
        target.sendFinished(arrived.connection(), arrived.submit(), 2);

        assertThat(stream.get(10, TimeUnit.SECONDS).body())
                .isEqualTo("data: 1\n\ndata: [DONE]\n\n");
        assertThat(drained.get(10, TimeUnit.SECONDS)).isTrue();
        assertThat(
                        entry.log.entries(LogStream.REPORTS).stream()
                                .map(LogEntry.CountersPublished.class::cast)
                                .anyMatch(LogEntry.CountersPublished::last))
                .isTrue();
    }

    // The head of the stream is sent during the drain, on a connection that is closed after the
    // answer; then the target disconnects. If only the close marked the end of the body, the
    // truncated stream would appear complete.
    @Test
    void shouldAbortTheStreamWhenItsTargetDisconnectsDuringTheDrain() throws Exception {
        target.setBehaviour(
                (connection, submit) -> {
                    target.sendStarted(connection, submit, "text/event-stream");
                    target.sendChunk(connection, submit, 0, "data: 1\n\n");
                    connection.close();
                });
        CompletableFuture<Boolean> drained = drain();
        EntryFixture.await(() -> !entry.role.ready());

        CompletableFuture<HttpResponse<String>> stream =
                entry.send(entry.completion(",\"stream\":true"));

        ExecutionException failure =
                assertThrows(ExecutionException.class, () -> stream.get(10, TimeUnit.SECONDS));
        assertThat(failure).hasCauseThat().isInstanceOf(IOException.class);
        assertThat(drained.get(10, TimeUnit.SECONDS)).isTrue();
    }

    // An unavailable log must not keep a draining daemon from completing answers.
    @Test
    void shouldFinishRequestsInProgressWhenTheLogIsUnavailable() throws Exception {
        CompletableFuture<HttpResponse<String>> answer = entry.send(entry.completion(""));
        FakeTarget.ReceivedSubmit arrived = target.takeSubmit();
        entry.log.setUnavailable(true);
        CompletableFuture<Boolean> drained = drain();
        EntryFixture.await(() -> !entry.role.ready());
        target.sendWholeAnswer(arrived.connection(), arrived.submit(), "whole");

        assertThat(answer.get(10, TimeUnit.SECONDS).body()).isEqualTo("whole");
        assertThat(drained.get(10, TimeUnit.SECONDS)).isTrue();
    }

    // The engine never completes the answer. When the drain times out, the caller must get an error
    // and the drain must report that a request was abandoned.
    @Test
    void shouldReportAbandonedRequestsWhenTheDrainTimesOut() throws Exception {
        CompletableFuture<HttpResponse<String>> answer = entry.send(entry.completion(""));
        target.takeSubmit();

        assertThat(drain().get(10, TimeUnit.SECONDS)).isFalse();
        assertThat(answer.get(10, TimeUnit.SECONDS).body()).contains("\"ran\":\"unknown\"");
    }
}
