package org.tamaracktrack.daemon.entry;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.tamaracktrack.core.message.Message;

/** Tests that a caller gets one complete answer or a correct error about the incomplete one. */
@Timeout(60)
class AnswerDeliveryTest {
    private static final String STREAM = ",\"stream\":true";
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

    // The target disconnects in the middle of a stream. The caller's HTTP library must report an
    // error; if the body ended properly, the truncated stream would appear complete.
    @Test
    void shouldAbortTheStreamWhenTheTargetDisconnects() {
        target.setBehaviour(
                (connection, submit) -> {
                    target.sendStarted(connection, submit, "text/event-stream");
                    target.sendChunk(connection, submit, 0, "data: 1\n\n");
                    connection.close();
                });

        CompletionException failure =
                assertThrows(CompletionException.class, () -> entry.call(entry.completion(STREAM)));

        assertThat(failure).hasCauseThat().isInstanceOf(IOException.class);
    }

    // A chunk is lost and the next one arrives, so the answer can no longer be completed.
    @Test
    void shouldAbortTheStreamWhenAChunkIsMissing() {
        target.setBehaviour(
                (connection, submit) -> {
                    target.sendStarted(connection, submit, "text/event-stream");
                    target.sendChunk(connection, submit, 0, "data: 1\n\n");
                    target.sendChunk(connection, submit, 2, "data: 3\n\n");
                    target.sendFinished(connection, submit, 3);
                });

        assertThrows(CompletionException.class, () -> entry.call(entry.completion(STREAM)));
        assertThat(entry.eventCount("answer_fault")).isEqualTo(1.0);
    }

    // The target sends a message for an attempt that has ended. It must not become part of any
    // answer.
    @Test
    void shouldDropMessagesWhenTheirAttemptHasEnded() throws Exception {
        target.setBehaviour(
                (connection, submit) -> target.sendWholeAnswer(connection, submit, "first"));
        entry.call(entry.completion(""));
        FakeTarget.ReceivedSubmit arrived = target.takeSubmit();

        target.sendChunk(arrived.connection(), arrived.submit(), 1, "late");
        target.setBehaviour(
                (connection, submit) -> target.sendWholeAnswer(connection, submit, "second"));

        assertThat(entry.call(entry.completion("")).body()).isEqualTo("second");
        EntryFixture.await(() -> entry.eventCount("late_frame") == 1.0);
    }

    // The target disconnects after it received an idempotent request. Another target has the model,
    // so the request must be retried there without an error to the caller.
    @Test
    void shouldRetryAnIdempotentRequestWhenItsTargetDisconnects() {
        FakeTarget other = entry.target("engine-2");
        entry.addTargets(target, other);
        AtomicLong attempts = new AtomicLong();
        List.of(target, other)
                .forEach(
                        fakeTarget ->
                                fakeTarget.setBehaviour(
                                        (connection, submit) -> {
                                            if (attempts.getAndIncrement() == 0) {
                                                connection.close();
                                            } else {
                                                fakeTarget.sendWholeAnswer(
                                                        connection, submit, "whole");
                                            }
                                        }));

        assertThat(entry.call(entry.completion("")).body()).isEqualTo("whole");
        assertThat(attempts.get()).isEqualTo(2);
    }

    // The target disconnects after it received a request that may not be repeated. Whether it ran
    // is unknown. The caller must get an error that says so, and there must be no retry although
    // another target is idle.
    @Test
    void shouldAnswerOutcomeUnknownWithoutRetryWhenTheRequestIsNotIdempotent() throws Exception {
        FakeTarget other = entry.target("engine-2");
        entry.addTargets(target, other);
        target.setBehaviour((connection, submit) -> connection.close());
        other.setBehaviour((connection, submit) -> connection.close());

        HttpResponse<String> answer =
                entry.call(entry.completion("").header("X-Idempotent", "false"));

        assertThat(answer.statusCode()).isEqualTo(502);
        assertThat(answer.body()).contains("\"code\":\"OUTCOME_UNKNOWN\"");
        assertThat(answer.body()).contains("\"ran\":\"unknown\"");
        assertThat(target.pollSubmit(200).isPresent() ^ other.pollSubmit(200).isPresent()).isTrue();
    }

    // The engine never answers. At the deadline the caller must get an error and the target a
    // cancel message.
    @Test
    void shouldCancelTheAttemptAndAnswerTimeoutWhenTheDeadlinePasses() throws Exception {
        try (EntryFixture shortDeadlineEntry =
                EntryFixture.start(new InMemoryLogClient(), "entry-2", 300)) {
            FakeTarget silentTarget = shortDeadlineEntry.target("engine-1");
            shortDeadlineEntry.addTargets(silentTarget);

            HttpResponse<String> answer =
                    shortDeadlineEntry.call(shortDeadlineEntry.completion(""));

            assertThat(answer.statusCode()).isEqualTo(504);
            assertThat(answer.body()).contains("DEADLINE_WHILE_RUNNING");
            assertThat(silentTarget.takeMessage(Message.Cancel.class).attempt())
                    .isEqualTo(silentTarget.takeSubmit().submit().attempt());
        }
    }

    // The caller closes its connection before the answer. The attempt must be cancelled long before
    // the deadline, so that the engine does not work on an answer that nobody reads.
    @Test
    void shouldCancelTheAttemptWhenTheCallerDisconnects() throws Exception {
        try (EntryFixture longDeadlineEntry =
                EntryFixture.start(new InMemoryLogClient(), "entry-2", 60_000)) {
            FakeTarget silentTarget = longDeadlineEntry.target("engine-1");
            longDeadlineEntry.addTargets(silentTarget);
            try (Socket caller = sendRawCompletion(longDeadlineEntry, "")) {
                silentTarget.takeSubmit();
            }

            silentTarget.takeMessage(Message.Cancel.class);
            EntryFixture.await(() -> longDeadlineEntry.eventCount("caller_gone") == 1.0);
        }
    }

    // The caller stops reading an endless stream. Credit must be granted only for what was written
    // to the caller, so that the bytes buffered by the daemon stay bounded.
    @Test
    void shouldGrantNoCreditWhenTheCallerDoesNotRead() throws Exception {
        AtomicLong sent = new AtomicLong();
        byte[] part = new byte[32 * 1024];
        target.setBehaviour(
                (connection, submit) -> {
                    target.sendStarted(connection, submit, "text/event-stream");
                    for (int sequence = 0; sequence < 8; sequence++) {
                        connection.send(new Message.Chunk(submit.attempt(), sequence, part));
                    }
                    sent.set(8);
                });
        try (Socket caller = sendRawCompletion(entry, STREAM)) {
            FakeTarget.ReceivedSubmit arrived = target.takeSubmit();
            CompletableFuture<Void> stopped = new CompletableFuture<>();
            Thread sender =
                    new Thread(
                            () -> {
                                while (!stopped.isDone()) {
                                    sendChunkWhenCredited(arrived, sent, part);
                                }
                            });
            sender.setDaemon(true);
            sender.start();
            long sentBefore = -1;
            while (sentBefore != sent.get()) {
                sentBefore = sent.get();
                assertThat(target.pollSubmit(500)).isEmpty();
            }
            stopped.complete(null);

            assertThat(sentBefore * part.length).isLessThan(32L * 1024 * 1024);
            InputStream input = caller.getInputStream();
            input.readNBytes((int) sentBefore * part.length / 2);
            EntryFixture.await(() -> entry.role.requestsInProgress() == 1);
        }
    }

    private void sendChunkWhenCredited(
            FakeTarget.ReceivedSubmit arrived, AtomicLong sent, byte[] part) {
        try {
            target.takeMessage(Message.Credit.class);
            arrived.connection()
                    .send(
                            new Message.Chunk(
                                    arrived.submit().attempt(),
                                    (int) sent.getAndIncrement(),
                                    part));
        } catch (RuntimeException | InterruptedException failure) {
            Thread.currentThread().interrupt();
        }
    }

    private static Socket sendRawCompletion(EntryFixture destination, String fields)
            throws IOException {
        String body =
                "{\"model\":\"approval\",\"prompt\":\"order 12\"" + fields + ",\"max_tokens\":9}";
        Socket socket = new Socket("127.0.0.1", destination.front.address().getPort());
        String head =
                "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer "
                        + EntryFixture.KEY
                        + "\r\nContent-Length: "
                        + body.length()
                        + "\r\n\r\n";
        socket.getOutputStream().write((head + body).getBytes(StandardCharsets.UTF_8));
        return socket;
    }
}
