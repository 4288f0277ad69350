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

/** Point 7: a planned stop of an entry daemon cuts nothing. */
@Timeout(60)
class DrainTest {
    private EntryFixture entry;
    private FakeTarget target;

    @BeforeEach
    void start() {
        entry = EntryFixture.start();
        target = entry.target("engine-1");
        entry.join(target);
    }

    @AfterEach
    void stop() {
        entry.close();
    }

    private CompletableFuture<Boolean> drain() {
        return CompletableFuture.supplyAsync(entry.role::drain);
    }

    // A stream is in progress when the daemon is told to stop. Readiness fails at once, a request
    // that the balancer still sends is served, and the stream goes on to its end.
    @Test
    void shouldFinishAStreamAndServeLateRequestsWhenDraining() throws Exception {
        CompletableFuture<HttpResponse<String>> stream =
                entry.send(entry.completion(",\"stream\":true"));
        FakeTarget.Arrived arrived = target.takeSubmit();
        target.start(arrived.connection(), arrived.submit(), "text/event-stream");
        target.chunk(arrived.connection(), arrived.submit(), 0, "data: 1\n\n");

        target.behave((connection, submit) -> target.whole(connection, submit, "late"));
        CompletableFuture<Boolean> drained = drain();
        EntryFixture.await(() -> !entry.role.ready());
        assertThat(entry.call(entry.request("/readyz").GET()).statusCode()).isEqualTo(503);
        assertThat(entry.call(entry.completion("")).body()).isEqualTo("late");
        EntryFixture.await(() -> entry.call(entry.completion("")).body().contains("LEAVING"));
        target.chunk(arrived.connection(), arrived.submit(), 1, "data: [DONE]\n\n");
        target.finish(arrived.connection(), arrived.submit(), 2);

        assertThat(stream.get(10, TimeUnit.SECONDS).body())
                .isEqualTo("data: 1\n\ndata: [DONE]\n\n");
        assertThat(drained.get(10, TimeUnit.SECONDS)).isTrue();
        assertThat(
                        entry.log.entries(LogStream.REPORTS).stream()
                                .map(LogEntry.CountersPublished.class::cast)
                                .anyMatch(LogEntry.CountersPublished::last))
                .isTrue();
    }

    // The stream's head is sent while the daemon drains, on a connection that will be closed after
    // it; then the target dies. Marked by the close alone, the part would look whole.
    @Test
    void shouldBreakAStreamOffWhenItsTargetDiesDuringTheDrain() throws Exception {
        target.behave(
                (connection, submit) -> {
                    target.start(connection, submit, "text/event-stream");
                    target.chunk(connection, submit, 0, "data: 1\n\n");
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

    // The log is out when the daemon stops: answers are finished all the same.
    @Test
    void shouldFinishWhatIsInProgressWhenTheLogIsOut() throws Exception {
        CompletableFuture<HttpResponse<String>> answer = entry.send(entry.completion(""));
        FakeTarget.Arrived arrived = target.takeSubmit();
        entry.log.out(true);
        CompletableFuture<Boolean> drained = drain();
        EntryFixture.await(() -> !entry.role.ready());
        target.whole(arrived.connection(), arrived.submit(), "whole");

        assertThat(answer.get(10, TimeUnit.SECONDS).body()).isEqualTo("whole");
        assertThat(drained.get(10, TimeUnit.SECONDS)).isTrue();
    }

    // The engine never ends. At the time limit the caller gets its word, and the daemon reports
    // that something was cut.
    @Test
    void shouldReportACutWhenTheTimeForThePlannedStopPasses() throws Exception {
        CompletableFuture<HttpResponse<String>> answer = entry.send(entry.completion(""));
        target.takeSubmit();

        assertThat(drain().get(10, TimeUnit.SECONDS)).isFalse();
        assertThat(answer.get(10, TimeUnit.SECONDS).body()).contains("\"ran\":\"unknown\"");
    }
}
