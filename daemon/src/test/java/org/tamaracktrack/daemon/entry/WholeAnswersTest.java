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

/** Point 3 and 4: a caller gets one whole answer, or learns the truth about what it did not get. */
@Timeout(60)
class WholeAnswersTest {
    private static final String STREAM = ",\"stream\":true";
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

    // The target daemon dies in the middle of a stream. The caller has read a part; its library
    // must report an error, since an orderly end would make the part look whole.
    @Test
    void shouldBreakTheCallersStreamOffWhenTheTargetDies() {
        target.behave(
                (connection, submit) -> {
                    target.start(connection, submit, "text/event-stream");
                    target.chunk(connection, submit, 0, "data: 1\n\n");
                    connection.close();
                });

        CompletionException failure =
                assertThrows(CompletionException.class, () -> entry.call(entry.completion(STREAM)));

        assertThat(failure).hasCauseThat().isInstanceOf(IOException.class);
    }

    // A chunk is lost on the way and the next arrives: the answer can't be made whole any more.
    @Test
    void shouldBreakTheCallersStreamOffWhenAChunkIsMissing() {
        target.behave(
                (connection, submit) -> {
                    target.start(connection, submit, "text/event-stream");
                    target.chunk(connection, submit, 0, "data: 1\n\n");
                    target.chunk(connection, submit, 2, "data: 3\n\n");
                    target.finish(connection, submit, 3);
                });

        assertThrows(CompletionException.class, () -> entry.call(entry.completion(STREAM)));
        assertThat(entry.events("answer_fault")).isEqualTo(1.0);
    }

    // The target answers an attempt that has ended: the frames come after the retry's answer and
    // must reach nobody.
    @Test
    void shouldDropFramesWhenTheyComeAfterTheirAttemptEnded() throws Exception {
        target.behave((connection, submit) -> target.whole(connection, submit, "first"));
        entry.call(entry.completion(""));
        FakeTarget.Arrived arrived = target.takeSubmit();

        target.chunk(arrived.connection(), arrived.submit(), 1, "late");
        target.behave((connection, submit) -> target.whole(connection, submit, "second"));

        assertThat(entry.call(entry.completion("")).body()).isEqualTo("second");
        EntryFixture.await(() -> entry.events("late_frame") == 1.0);
    }

    // The target dies after it took an idempotent request; another has the model, and the caller
    // notices nothing.
    @Test
    void shouldRunAnIdempotentRequestElsewhereWhenItsTargetDies() {
        FakeTarget other = entry.target("engine-2");
        entry.join(target, other);
        AtomicLong attempts = new AtomicLong();
        List.of(target, other)
                .forEach(
                        each ->
                                each.behave(
                                        (connection, submit) -> {
                                            if (attempts.getAndIncrement() == 0) {
                                                connection.close();
                                            } else {
                                                each.whole(connection, submit, "whole");
                                            }
                                        }));

        assertThat(entry.call(entry.completion("")).body()).isEqualTo("whole");
        assertThat(attempts.get()).isEqualTo(2);
    }

    // The target dies after it took a request that may not be repeated. Whether it ran can't be
    // known: the caller is told so, and nothing is sent again, though another target is idle.
    @Test
    void shouldSayUnknownAndSendNothingAgainWhenTheRequestMayNotBeRepeated() throws Exception {
        FakeTarget other = entry.target("engine-2");
        entry.join(target, other);
        target.behave((connection, submit) -> connection.close());
        other.behave((connection, submit) -> connection.close());

        HttpResponse<String> answer =
                entry.call(entry.completion("").header("X-Idempotent", "false"));

        assertThat(answer.statusCode()).isEqualTo(502);
        assertThat(answer.body()).contains("\"code\":\"OUTCOME_UNKNOWN\"");
        assertThat(answer.body()).contains("\"ran\":\"unknown\"");
        assertThat(target.pollSubmit(200).isPresent() ^ other.pollSubmit(200).isPresent()).isTrue();
    }

    // The engine never answers. At the deadline the caller gets its word and the target is told to
    // stop.
    @Test
    void shouldCancelAndSayUnknownWhenTheDeadlinePasses() throws Exception {
        try (EntryFixture hasty = EntryFixture.start(new MemoryLog(), "entry-2", 300)) {
            FakeTarget silent = hasty.target("engine-1");
            hasty.join(silent);

            HttpResponse<String> answer = hasty.call(hasty.completion(""));

            assertThat(answer.statusCode()).isEqualTo(504);
            assertThat(answer.body()).contains("DEADLINE_WHILE_RUNNING");
            assertThat(silent.takeOther(Message.Cancel.class).attempt())
                    .isEqualTo(silent.takeSubmit().submit().attempt());
        }
    }

    // The caller closes its connection while its answer is awaited; the engine's work is for
    // nobody and is cancelled, long before the deadline would do so.
    @Test
    void shouldCancelWhenTheCallerGoesAway() throws Exception {
        try (EntryFixture patient = EntryFixture.start(new MemoryLog(), "entry-2", 60_000)) {
            FakeTarget silent = patient.target("engine-1");
            patient.join(silent);
            try (Socket caller = rawCompletion(patient, "")) {
                silent.takeSubmit();
            }

            silent.takeOther(Message.Cancel.class);
            EntryFixture.await(() -> patient.events("caller_gone") == 1.0);
        }
    }

    // The caller stops reading a stream that has no end. The target may send only what the caller
    // has read, so what this daemon holds for it stays bounded.
    @Test
    void shouldGrantNoCreditWhenTheCallerDoesNotRead() throws Exception {
        AtomicLong sent = new AtomicLong();
        byte[] part = new byte[32 * 1024];
        target.behave(
                (connection, submit) -> {
                    target.start(connection, submit, "text/event-stream");
                    for (int sequence = 0; sequence < 8; sequence++) {
                        connection.send(new Message.Chunk(submit.attempt(), sequence, part));
                    }
                    sent.set(8);
                });
        try (Socket caller = rawCompletion(entry, STREAM)) {
            FakeTarget.Arrived arrived = target.takeSubmit();
            CompletableFuture<Void> stalled = new CompletableFuture<>();
            Thread feeder =
                    new Thread(
                            () -> {
                                while (!stalled.isDone()) {
                                    creditOne(arrived, sent, part);
                                }
                            });
            feeder.setDaemon(true);
            feeder.start();
            long before = -1;
            while (before != sent.get()) {
                before = sent.get();
                assertThat(target.pollSubmit(500)).isEmpty();
            }
            stalled.complete(null);

            assertThat(before * part.length).isLessThan(32L * 1024 * 1024);
            InputStream input = caller.getInputStream();
            input.readNBytes((int) before * part.length / 2);
            EntryFixture.await(() -> entry.role.requestsInProgress() == 1);
        }
    }

    private void creditOne(FakeTarget.Arrived arrived, AtomicLong sent, byte[] part) {
        try {
            target.takeOther(Message.Credit.class);
            arrived.connection()
                    .send(
                            new Message.Chunk(
                                    arrived.submit().attempt(),
                                    (int) sent.getAndIncrement(),
                                    part));
        } catch (RuntimeException | InterruptedException end) {
            Thread.currentThread().interrupt();
        }
    }

    private static Socket rawCompletion(EntryFixture to, String fields) throws IOException {
        String body =
                "{\"model\":\"approval\",\"prompt\":\"order 12\"" + fields + ",\"max_tokens\":9}";
        Socket socket = new Socket("127.0.0.1", to.front.address().getPort());
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
