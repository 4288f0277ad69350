package org.tamaracktrack.daemon.entry;

import static com.google.common.truth.Truth.assertThat;

import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.tamaracktrack.core.error.ErrorCode;
import org.tamaracktrack.core.id.TargetId;
import org.tamaracktrack.core.message.Message;
import org.tamaracktrack.daemon.operations.DaemonHttpServer;

@Timeout(60)
class CallerHandlerTest {
    private EntryFixture entry;

    @BeforeEach
    void start() {
        entry = EntryFixture.start();
    }

    @AfterEach
    void stop() {
        entry.close();
    }

    private void assertRefused(HttpRequest.Builder request, ErrorCode code) {
        HttpResponse<String> answer = entry.call(request);

        assertThat(answer.body()).contains("\"code\":\"" + code + "\"");
        assertThat(answer.body()).contains("\"ran\":\"no\"");
        assertThat(answer.statusCode()).isEqualTo(code.status());
    }

    private static HttpRequest.BodyPublisher body(String text) {
        return HttpRequest.BodyPublishers.ofString(text);
    }

    @Nested
    class InvalidRequests {
        @Test
        void shouldRefuseWhenTheKeyIsWrong() {
            assertRefused(
                    entry.completion("").setHeader("Authorization", "Bearer nobody"),
                    ErrorCode.UNAUTHENTICATED);
        }

        @Test
        void shouldRefuseWhenTheBodyIsMalformed() {
            assertRefused(
                    entry.request("/v1/completions").POST(body("{\"model\":")),
                    ErrorCode.BAD_REQUEST);
            assertRefused(
                    entry.request("/v1/completions").POST(body("[1]")), ErrorCode.BAD_REQUEST);
            assertRefused(
                    entry.request("/v1/completions")
                            .POST(body("{\"model\":\"approval\",\"max_tokens\":-1}")),
                    ErrorCode.BAD_REQUEST);
        }

        @Test
        void shouldRefuseWhenTheBodyIsTooLarge() {
            assertRefused(
                    entry.request("/v1/completions").POST(body("x".repeat(10_001))),
                    ErrorCode.BODY_TOO_LARGE);
        }

        @Test
        void shouldRefuseWhenTheAccountHasNoSuchModelAdapterServiceOrClass() {
            assertRefused(
                    entry.request("/v1/completions").POST(body("{\"model\":\"history\"}")),
                    ErrorCode.UNKNOWN_MODEL);
            assertRefused(
                    entry.request("/v1/completions").POST(body("{\"model\":\"approval+x y\"}")),
                    ErrorCode.UNKNOWN_ADAPTER);
            assertRefused(entry.request("/v1/services/none/x").GET(), ErrorCode.UNKNOWN_SERVICE);
            assertRefused(
                    entry.completion("").header("X-Request-Class", "best"),
                    ErrorCode.UNKNOWN_CLASS);
        }

        @Test
        void shouldRefuseWhenThePathOrMethodIsWrong() {
            assertRefused(entry.request("/v2/completions").GET(), ErrorCode.NOT_FOUND);
            assertRefused(entry.request("/v1/completions").GET(), ErrorCode.METHOD_NOT_ALLOWED);
        }

        // A caller that sends the head and only a part of the body must get a timeout error and
        // have its connection closed, so that it does not occupy resources.
        @Test
        void shouldAnswerTimeoutAndCloseTheConnectionWhenTheBodyIsLate() throws Exception {
            CallerHandler shortTimeoutHandler =
                    CallerHandler.of(
                            entry.configuration,
                            entry.role.services(),
                            AccountRates.empty(),
                            new CallerHandler.CallerLimits(1_000, 10, 100));
            try (DaemonHttpServer front =
                            DaemonHttpServer.start(
                                    new InetSocketAddress("127.0.0.1", 0),
                                    10,
                                    shortTimeoutHandler);
                    Socket caller = new Socket("127.0.0.1", front.address().getPort())) {
                String head =
                        "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer "
                                + EntryFixture.KEY
                                + "\r\nContent-Length: 50\r\n\r\n{\"model\"";
                caller.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));

                String answer = new String(caller.getInputStream().readAllBytes());

                assertThat(answer).startsWith("HTTP/1.1 408");
                assertThat(answer).contains("REQUEST_TOO_SLOW");
            }
        }

        // Requests on connections over the limit are refused; those within the limit are served.
        @Test
        void shouldRefuseConnectionsOverTheLimitAndServeTheRest() throws Exception {
            List<Socket> sockets = new ArrayList<>();
            for (int count = 0; count < 40; count++) {
                Socket socket = new Socket("127.0.0.1", entry.front.address().getPort());
                socket.getOutputStream()
                        .write(
                                "GET /v1/models HTTP/1.1\r\nHost: x\r\n\r\n"
                                        .getBytes(StandardCharsets.US_ASCII));
                sockets.add(socket);
            }
            List<String> firstLines = new ArrayList<>();
            for (Socket socket : sockets) {
                firstLines.add(new String(socket.getInputStream().readNBytes(12)));
            }
            for (Socket socket : sockets) {
                socket.close();
            }

            assertThat(firstLines).contains("HTTP/1.1 401");
            assertThat(firstLines).contains("HTTP/1.1 503");
            assertThat(firstLines.stream().filter("HTTP/1.1 401"::equals).count()).isAtMost(20);
            EntryFixture.await(
                    () -> entry.call(entry.request("/v1/models").GET()).statusCode() == 200);
        }
    }

    @Nested
    class Refusals {
        @Test
        void shouldAnswerNotRunWithRetryAfterWhenNoTargetServesTheModel() {
            HttpResponse<String> answer = entry.call(entry.completion(""));

            assertThat(answer.statusCode()).isEqualTo(503);
            assertThat(answer.body()).contains("NO_TARGET");
            assertThat(answer.headers().firstValue("retry-after")).hasValue("1");
        }

        @Test
        void shouldTryAnotherTargetWhenATargetRefuses() {
            FakeTarget refusing = entry.target("engine-1");
            FakeTarget serving = entry.target("engine-2");
            refusing.setBehaviour(
                    (connection, submit) ->
                            refusing.sendRefused(connection, submit, ErrorCode.OVERLOADED));
            serving.setBehaviour(
                    (connection, submit) -> serving.sendWholeAnswer(connection, submit, "here"));
            entry.addTargets(refusing, serving);

            IntStream.range(0, 8)
                    .forEach(
                            index ->
                                    assertThat(entry.call(entry.completion("")).body())
                                            .isEqualTo("here"));
        }

        @Test
        void shouldForwardTheErrorCodeWhenEveryTargetRefuses() {
            FakeTarget refusing = entry.target("engine-1");
            refusing.setBehaviour(
                    (connection, submit) ->
                            refusing.sendRefused(connection, submit, ErrorCode.CANNOT_MEET_CLASS));
            entry.addTargets(refusing);

            assertRefused(entry.completion(""), ErrorCode.CANNOT_MEET_CLASS);
        }

        @Test
        void shouldRefuseWhenTheAccountExceedsItsRate() {
            HttpRequest.Builder limitedRequest =
                    entry.request("/v1/services/charges/x")
                            .GET()
                            .setHeader("Authorization", "Bearer " + EntryFixture.OTHER_KEY);
            entry.call(limitedRequest);

            assertRefused(limitedRequest, ErrorCode.ACCOUNT_LIMIT);
        }
    }

    @Nested
    class Leaving {
        // A target daemon that is being stopped announces that it is leaving. It finishes the
        // requests it already has and must get no new ones.
        @Test
        void shouldSendNoRequestsToATargetWhenItAnnouncedThatItIsLeaving() throws Exception {
            FakeTarget leaving = entry.target("engine-1");
            FakeTarget staying = entry.target("engine-2");
            staying.setBehaviour(
                    (connection, submit) -> staying.sendWholeAnswer(connection, submit, "x"));
            entry.addTargets(leaving, staying);
            leaving.takeConnection().send(new Message.Leaving(TargetId.of("engine-1")));
            EntryFixture.await(
                    () ->
                            entry.callOnControlThread(() -> entry.role.accepts("engine-1") ? 1 : 0)
                                    == 0);

            IntStream.range(0, 20).forEach(index -> entry.call(entry.completion("")));

            assertThat(leaving.pollSubmit(50)).isEmpty();
        }
    }
}
