package org.tamaracktrack.link.http;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.Queue;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Bytes that a server sends beside its answers, and that belong to no request. */
class SurplusBytesTest {
    private static final long TIMEOUT_MILLIS = 8_000;
    private static final String ID = "x-request";
    private static final String FURTHER_HEAD =
            "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nX-Request: other\r\n"
                    + "Content-Length: 9\r\n\r\n";

    private final Queue<byte[]> answers = new ConcurrentLinkedQueue<>();
    private UndertowHttpCaller caller;
    private RawServer server;
    private volatile boolean keepsConnections = true;

    @BeforeEach
    void start() throws IOException {
        caller = UndertowHttpCaller.of(AnswerBounds.standard().withHeadMillis(400));
        server = new RawServer(this::writeNextAnswer);
    }

    @AfterEach
    void stop() throws IOException {
        caller.close();
        server.close();
    }

    private void writeNextAnswer(OutputStream output) throws IOException {
        output.write(answers.remove());
        if (!keepsConnections) {
            throw new IOException("end of the connection");
        }
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    private static String answer(int status, String id, String body) {
        return "HTTP/1.1 "
                + status
                + " Reason\r\nX-Request: "
                + id
                + "\r\nContent-Length: "
                + body.length()
                + "\r\n\r\n"
                + body;
    }

    private static String chunkedAnswer(int status, String id, String body) {
        return "HTTP/1.1 "
                + status
                + " Reason\r\nTransfer-Encoding: chunked\r\nX-Request: "
                + id
                + "\r\n\r\n"
                + Integer.toHexString(body.length())
                + "\r\n"
                + body
                + "\r\n0\r\n\r\n";
    }

    private CompletableFuture<HttpResponse> request(byte[] written) {
        answers.add(written);
        return caller.send(HttpCall.get(server.address(), "/", TIMEOUT_MILLIS));
    }

    private Optional<HttpResponse> response(byte[] written) throws Exception {
        try {
            return Optional.of(request(written).get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS));
        } catch (ExecutionException failed) {
            return Optional.empty();
        }
    }

    private void assertOwnAnswer(Optional<HttpResponse> response, int status, String body) {
        assertThat(response.map(HttpResponse::status)).hasValue(status);
        assertThat(new String(response.get().body(), StandardCharsets.ISO_8859_1)).isEqualTo(body);
    }

    @Nested
    class BeforeAnswer {
        private static final List<Integer> STATUSES = List.of(200, 400, 500, 503);

        // What comes first may be a whole head whose body ends with the connection.
        @BeforeEach
        void endConnections() {
            keepsConnections = false;
        }

        private void assertOwnAnswerOrFailure(String leftover, boolean chunked, int status)
                throws Exception {
            String own =
                    chunked
                            ? chunkedAnswer(status, "own", "own body")
                            : answer(status, "own", "own body");

            Optional<HttpResponse> response = response(bytes(leftover + own));

            String shown = "after '" + leftover + "' " + status;
            if (response.isPresent() && "own".equals(response.get().headers().get(ID))) {
                assertWithMessage(shown).that(response.get().status()).isEqualTo(status);
                assertWithMessage(shown).that(response.get().body()).isEqualTo(bytes("own body"));
            }
        }

        // Guards against the beginning of a further answer that is read as one head with the next
        // answer, so that a failure looks like a success.
        @ParameterizedTest
        @ValueSource(booleans = {false, true})
        void shouldNotJoinHeadsWhenFurtherHeadIsCutAnywhere(boolean chunked) throws Exception {
            for (int length = 0; length <= FURTHER_HEAD.length(); length++) {
                for (int status : STATUSES) {
                    assertOwnAnswerOrFailure(FURTHER_HEAD.substring(0, length), chunked, status);
                }
            }
        }

        // Guards against other bytes in front of an answer that change its status or body.
        @Test
        void shouldNotJoinHeadsWhenDrawnBytesComeFirst() throws Exception {
            Random random = new Random(71);
            List<String> parts =
                    List.of(
                            "HTTP/1.1 200 OK",
                            "HTTP/1.0 404 Not Found",
                            "HTTP/1.1 100 Continue",
                            "HTTP/1.1 204 ",
                            "HTTP/1.",
                            "\r\n",
                            "\n",
                            "\r",
                            " ",
                            "Content-Length: 3",
                            "Transfer-Encoding: chunked",
                            "X-Line: ",
                            "0\r\n",
                            "H",
                            "HTTP/1.1 200",
                            "x");
            for (int play = 0; play < 600; play++) {
                StringBuilder leftover = new StringBuilder();
                int count = 1 + random.nextInt(6);
                for (int index = 0; index < count; index++) {
                    String part = parts.get(random.nextInt(parts.size()));
                    leftover.append(part, 0, 1 + random.nextInt(part.length()));
                    leftover.append(random.nextBoolean() ? "\r\n" : "");
                }
                assertOwnAnswerOrFailure(
                        leftover.toString(),
                        random.nextBoolean(),
                        STATUSES.get(random.nextInt(STATUSES.size())));
            }
        }

        // Guards against a sound answer that is rejected because a header names the protocol.
        @ParameterizedTest
        @ValueSource(strings = {"Via: HTTP/1.1 192.168.0.1", "Upgrade: HTTP/2.0", "X: HTTP/1.1"})
        void shouldAcceptHeadThatNamesProtocol(String line) throws Exception {
            String own = "HTTP/1.1 200 OK\r\n" + line + "\r\nContent-Length: 2\r\n\r\nok";

            assertOwnAnswer(response(bytes(own)), 200, "ok");
        }
    }

    @Nested
    class AfterAnswer {

        // Guards against bytes after an answer that are read as the beginning of the next one.
        @ParameterizedTest
        @ValueSource(ints = {1, 8, 15, 17, 40, 200})
        void shouldDeliverBothAnswersWhenBytesFollowFirst(int surplusBytes) throws Exception {
            String further = (FURTHER_HEAD + "some body").repeat(3).substring(0, surplusBytes);

            Optional<HttpResponse> first = response(bytes(answer(200, "a1", "first") + further));
            Optional<HttpResponse> second = response(bytes(answer(500, "a2", "second")));

            assertOwnAnswer(first, 200, "first");
            assertOwnAnswer(second, 500, "second");
            assertThat(server.connections()).isEqualTo(2);
        }

        // Guards against bytes that come while a connection is idle and are taken for the answer to
        // the next request, which is sent on it.
        @ParameterizedTest
        @ValueSource(strings = {"HTTP/1.1 200 OK\r\nX-Line: ", "HTTP/1.1 200 OK\r\n\r\n", "x"})
        void shouldUseAnotherConnectionWhenBytesCameWhileIdle(String surplus) throws Exception {
            Optional<HttpResponse> first = response(bytes(answer(200, "a1", "first")));
            server.firstConnection().getOutputStream().write(bytes(surplus));

            Optional<HttpResponse> second = response(bytes(answer(500, "a2", "second")));

            assertOwnAnswer(first, 200, "first");
            assertOwnAnswer(second, 500, "second");
            assertThat(server.connections()).isEqualTo(2);
        }

        // Guards against a request whose outcome is unknown, since it was sent on a connection that
        // the server had closed.
        @Test
        void shouldUseAnotherConnectionWhenServerClosedIdleOne() throws Exception {
            Optional<HttpResponse> first = response(bytes(answer(200, "a1", "first")));
            server.firstConnection().shutdownOutput();

            Optional<HttpResponse> second = response(bytes(answer(200, "a2", "second")));

            assertOwnAnswer(first, 200, "first");
            assertOwnAnswer(second, 200, "second");
        }
    }
}
