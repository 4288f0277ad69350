package org.tamaracktrack.link.http;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.util.Headers;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class UndertowHttpCallerTest {
    private static final long TIMEOUT_MILLIS = 10_000;
    private static final int LARGE = 3_000_000;

    private final UndertowHttpCaller caller = UndertowHttpCaller.of();
    private final Undertow server = startServer();

    @AfterEach
    void stop() {
        caller.close();
        server.stop();
    }

    private static Undertow startServer() {
        Undertow server =
                Undertow.builder()
                        .addHttpListener(0, "127.0.0.1")
                        .setServerOption(UndertowOptions.MAX_ENTITY_SIZE, 2L * LARGE)
                        .setHandler(
                                exchange ->
                                        exchange.getRequestReceiver()
                                                .receiveFullBytes(
                                                        (received, body) -> {
                                                            received.setStatusCode(201);
                                                            received.getResponseHeaders()
                                                                    .put(Headers.ETAG, "x");
                                                            received.getResponseSender()
                                                                    .send(
                                                                            java.nio.ByteBuffer
                                                                                    .wrap(body));
                                                        }))
                        .build();
        server.start();
        return server;
    }

    private InetSocketAddress address() {
        return (InetSocketAddress) server.getListenerInfo().get(0).getAddress();
    }

    @Test
    void shouldGiveStatusHeadersAndBodyWhenTheServerAnswers() {
        byte[] body = new byte[LARGE];
        body[LARGE - 1] = 7;

        HttpResponse answer = caller.call(HttpCall.post(address(), "/echo", body, TIMEOUT_MILLIS));

        assertThat(answer.status()).isEqualTo(201);
        assertThat(answer.headers().get("etag")).isEqualTo("x");
        assertThat(answer.body()).isEqualTo(body);
    }

    @Test
    void shouldGiveEachCallItsOwnAnswerWhenConnectionsAreUsedAgain() {
        for (int number = 0; number < 200; number++) {
            byte[] body = ("call " + number).getBytes(StandardCharsets.UTF_8);

            HttpResponse answer = caller.call(HttpCall.post(address(), "/", body, TIMEOUT_MILLIS));

            assertThat(answer.body()).isEqualTo(body);
        }
    }

    @Test
    void shouldReadNoFurtherWhenPausedUntilResumed() throws Exception {
        // The listener pauses at the first bytes. Another call goes through meanwhile, so the
        // threads are idle; the paused answer must not have been read on into memory.
        CompletableFuture<Integer> total = new CompletableFuture<>();
        CompletableFuture<Integer> first = new CompletableFuture<>();
        CompletableFuture<HttpStream> stream = new CompletableFuture<>();
        Counting listener = new Counting(total, first, stream);
        stream.complete(
                caller.stream(
                        HttpCall.post(address(), "/", new byte[LARGE], TIMEOUT_MILLIS), listener));

        first.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        caller.call(HttpCall.post(address(), "/", new byte[10], TIMEOUT_MILLIS));
        int whilePaused = listener.count;
        stream.get().resume();

        assertThat(whilePaused).isLessThan(LARGE / 2);
        assertThat(total.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)).isEqualTo(LARGE);
    }

    @Nested
    class Failures {

        @Test
        void shouldSayNotSentWhenNobodyListens() throws IOException {
            InetSocketAddress free;
            try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
                free = (InetSocketAddress) socket.getLocalSocketAddress();
            }

            assertThat(failureOf(HttpCall.get(free, "/", TIMEOUT_MILLIS)))
                    .isEqualTo(HttpFailure.NOT_SENT);
        }

        @Test
        void shouldSayTimedOutWhenTheServerIsSilent() throws IOException {
            try (ServerSocket silent = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
                InetSocketAddress there = (InetSocketAddress) silent.getLocalSocketAddress();

                assertThat(failureOf(HttpCall.get(there, "/", 200)))
                        .isEqualTo(HttpFailure.TIMED_OUT);
            }
        }

        @Test
        void shouldSayNoAnswerWhenTheServerClosesWithoutOne() throws Exception {
            assertThat(failureWhenServerSends("")).isEqualTo(HttpFailure.NO_ANSWER);
        }

        @Test
        void shouldSayCutWhenALengthIsNotReached() throws Exception {
            // The server promises ten bytes, sends four and dies. Taken as an end, the caller would
            // be given half an answer as a whole one.
            assertThat(failureWhenServerSends("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf"))
                    .isEqualTo(HttpFailure.ANSWER_CUT);
        }

        @Test
        void shouldSayCutWhenTheLastChunkIsMissing() throws Exception {
            assertThat(
                            failureWhenServerSends(
                                    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                                            + "4\r\nhalf\r\n"))
                    .isEqualTo(HttpFailure.ANSWER_CUT);
        }

        private HttpFailure failureWhenServerSends(String answer) throws Exception {
            try (ServerSocket socket = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
                InetSocketAddress there = (InetSocketAddress) socket.getLocalSocketAddress();
                CompletableFuture<HttpFailure> failure =
                        CompletableFuture.supplyAsync(
                                () -> failureOf(HttpCall.get(there, "/", TIMEOUT_MILLIS)));
                try (Socket accepted = socket.accept()) {
                    accepted.getInputStream().read();
                    accepted.getOutputStream().write(answer.getBytes(StandardCharsets.UTF_8));
                    accepted.shutdownOutput();
                    return failure.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
                }
            }
        }

        private HttpFailure failureOf(HttpCall call) {
            return assertThrows(HttpCallException.class, () -> caller.call(call)).failure();
        }

        @Test
        void shouldSendNothingWhenItsTimePassedBeforeTheConnectionOpened() throws Exception {
            // The decision to call was made, the process was frozen, and the connection opens only
            // after the call's time. The server must not see it, and the caller hears "not sent".
            try (ServerSocket server = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
                InetSocketAddress there = (InetSocketAddress) server.getLocalSocketAddress();
                Failing listener = new Failing();

                caller.stream(HttpCall.get(there, "/", TIMEOUT_MILLIS), () -> false, listener);

                assertThat(listener.failures.poll(20, TimeUnit.SECONDS))
                        .isEqualTo(HttpFailure.NOT_SENT);
                try (Socket accepted = server.accept()) {
                    assertThat(accepted.getInputStream().available()).isEqualTo(0);
                }
            }
        }

        @Test
        void shouldSayCancelledOnceWhenCancelled() throws Exception {
            try (ServerSocket silent = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
                InetSocketAddress there = (InetSocketAddress) silent.getLocalSocketAddress();
                Failing listener = new Failing();
                HttpStream stream =
                        caller.stream(HttpCall.get(there, "/", TIMEOUT_MILLIS), listener);

                stream.cancel();
                stream.cancel();

                assertThat(listener.failures.poll(20, TimeUnit.SECONDS))
                        .isEqualTo(HttpFailure.CANCELLED);
                assertThat(listener.failures.poll(100, TimeUnit.MILLISECONDS)).isNull();
            }
        }
    }

    private static class Failing implements HttpListener {
        final BlockingQueue<HttpFailure> failures = new LinkedBlockingQueue<>();

        @Override
        public void onHead(int status, Map<String, String> headers) {}

        @Override
        public void onBytes(byte[] bytes) {}

        @Override
        public void onEnd() {}

        @Override
        public void onFailure(HttpFailure failure) {
            failures.add(failure);
        }
    }

    private static final class Counting extends Failing {
        private final CompletableFuture<Integer> total;
        private final CompletableFuture<Integer> first;
        private final CompletableFuture<HttpStream> stream;
        private volatile int count;

        Counting(
                CompletableFuture<Integer> total,
                CompletableFuture<Integer> first,
                CompletableFuture<HttpStream> stream) {
            this.total = total;
            this.first = first;
            this.stream = stream;
        }

        @Override
        public void onBytes(byte[] bytes) {
            count += bytes.length;
            if (first.complete(count)) {
                stream.join().pause();
            }
        }

        @Override
        public void onEnd() {
            total.complete(count);
        }
    }
}
