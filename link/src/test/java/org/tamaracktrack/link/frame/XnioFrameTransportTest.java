package org.tamaracktrack.link.frame;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.Range;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.tamaracktrack.core.error.ErrorCode;
import org.tamaracktrack.core.error.TamaracktrackException;
import org.tamaracktrack.core.id.AttemptId;
import org.tamaracktrack.core.id.ClientAccountId;
import org.tamaracktrack.core.id.IncarnationId;
import org.tamaracktrack.core.id.ModelId;
import org.tamaracktrack.core.id.RequestClassId;
import org.tamaracktrack.core.message.Message;

class XnioFrameTransportTest {
    private static final InetSocketAddress ANY_PORT =
            new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    private static final AttemptId ATTEMPT = AttemptId.of(IncarnationId.of("entry-1"), 1, 0);

    private final XnioFrameTransport server = XnioFrameTransport.of("secret");
    private final XnioFrameTransport client = XnioFrameTransport.of("secret");
    private final Recorder serverSide = new Recorder();
    private final Recorder clientSide = new Recorder();

    @AfterEach
    void closeTransports() {
        client.close();
        server.close();
    }

    @Test
    void shouldCarryEveryFieldWhenAMessageIsSent() {
        client.connect(server.listen(ANY_PORT, serverSide), clientSide);
        Message.Submit sent =
                new Message.Submit(
                        ATTEMPT,
                        ClientAccountId.of("store"),
                        RequestClassId.of("fast"),
                        Message.CallKind.MODEL,
                        Optional.of(ModelId.of("m")),
                        Optional.empty(),
                        true,
                        12,
                        1_900,
                        30_000,
                        "POST",
                        "/v1/completions",
                        Map.of("content-type", "application/json"),
                        new byte[] {0, 1, -1},
                        true,
                        65_536);

        assertThat(clientSide.connection().send(sent)).isTrue();

        Message.Submit received = (Message.Submit) serverSide.message();
        assertThat(received.body()).isEqualTo(sent.body());
        assertThat(received.model()).isEqualTo(sent.model());
        assertThat(received.adapter()).isEmpty();
        assertThat(received.attempt()).isEqualTo(sent.attempt());
        assertThat(received.headers()).isEqualTo(sent.headers());
    }

    @Test
    void shouldKeepTheOrderWhenManyMessagesAreSentBothWays() {
        client.connect(server.listen(ANY_PORT, serverSide), clientSide);
        Connection fromClient = clientSide.connection();
        Connection fromServer = serverSide.connection();

        IntStream.range(0, 2_000)
                .forEach(
                        number -> {
                            fromClient.send(new Message.Credit(ATTEMPT, number));
                            fromServer.send(
                                    new Message.Chunk(ATTEMPT, number, new byte[number % 700]));
                        });

        IntStream.range(0, 2_000)
                .forEach(
                        number -> {
                            assertThat(((Message.Credit) serverSide.message()).bytes())
                                    .isEqualTo(number);
                            assertThat(((Message.Chunk) clientSide.message()).sequence())
                                    .isEqualTo(number);
                        });
    }

    @Test
    void shouldTellBothSidesOnceWhenOneSideCloses() {
        client.connect(server.listen(ANY_PORT, serverSide), clientSide);
        Connection fromClient = clientSide.connection();
        serverSide.connection();

        fromClient.close();

        assertThat(serverSide.closed()).isNotNull();
        assertThat(clientSide.closed()).isNotNull();
        assertThat(fromClient.send(new Message.LoadQuery())).isFalse();
    }

    // Guards against a daemon that is frozen and counts as one that has taken everything.
    @Test
    void shouldTellHowMuchWaitsWhileThePeerTakesNothing() {
        CompletableFuture<Void> go = new CompletableFuture<>();
        client.connect(server.listen(ANY_PORT, new Stopped(go)), clientSide);
        Connection fromClient = clientSide.connection();
        byte[] part = new byte[1024 * 1024];

        IntStream.range(0, 24)
                .forEach(number -> fromClient.send(new Message.Chunk(ATTEMPT, number, part)));
        assertThat(fromClient.queuedBytes())
                .isIn(Range.closed(part.length + 0L, 25L * part.length));

        go.complete(null);
        long untilNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
        while (fromClient.queuedBytes() > 0 && System.nanoTime() < untilNanos) {
            Thread.onSpinWait();
        }
        assertThat(fromClient.queuedBytes()).isEqualTo(0);
    }

    /** Takes nothing until it may. */
    private record Stopped(CompletableFuture<Void> go) implements ConnectionHandler {
        @Override
        public void onOpen(Connection connection) {
            go.join();
        }

        @Override
        public void onMessage(Connection connection, Message message) {
            // Only how much waits matters.
        }

        @Override
        public void onClosed(Connection connection) {
            // The transport is closed after the test.
        }

        @Override
        public void onConnectFailed(TamaracktrackException failure) {
            throw failure;
        }
    }

    @Nested
    class Failures {

        @Test
        void shouldReportThatNothingWasSentWhenNobodyListens() throws IOException {
            InetSocketAddress free;
            try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
                free = (InetSocketAddress) socket.getLocalSocketAddress();
            }

            client.connect(free, clientSide);

            assertThat(clientSide.connectFailure().code()).isEqualTo(ErrorCode.TARGET_UNREACHABLE);
        }

        @Test
        void shouldRefuseWhenTheOtherEndHasAnotherSecret() {
            // A stranger connects with a secret of its own. Our daemon answers the nonce, the proof
            // that comes back is wrong, and the connection closes before any message is read.
            XnioFrameTransport stranger = XnioFrameTransport.of("guess");
            try {
                stranger.connect(server.listen(ANY_PORT, serverSide), clientSide);

                assertThat(clientSide.connectFailure().code()).isEqualTo(ErrorCode.PEER_REFUSED);
                assertThat(serverSide.opened.peek()).isNull();
            } finally {
                stranger.close();
            }
        }

        @Test
        void shouldGiveUpWhenThePeerAcceptsAndSaysNothing() throws IOException {
            // A frozen process: its kernel accepts the connection, and no proof ever comes. The
            // dialling side must hear of it, or it would wait with its requests for good.
            try (ServerSocket frozen = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
                client.connect((InetSocketAddress) frozen.getLocalSocketAddress(), clientSide);

                assertThat(clientSide.connectFailure().code())
                        .isEqualTo(ErrorCode.TARGET_UNREACHABLE);
            }
        }

        @Test
        void shouldCloseWhenAStrangerSendsALongFrame() throws IOException {
            InetSocketAddress address = server.listen(ANY_PORT, serverSide);
            try (Socket stranger = new Socket(address.getAddress(), address.getPort())) {
                stranger.getOutputStream().write(new byte[] {0x7f, 0, 0, 0, 1});

                assertThat(stranger.getInputStream().read()).isEqualTo(-1);
            }
        }
    }

    private static final class Recorder implements ConnectionHandler {
        private static final long LIMIT_SECONDS = 20;

        private final BlockingQueue<Connection> opened = new LinkedBlockingQueue<>();
        private final BlockingQueue<Message> messages = new LinkedBlockingQueue<>();
        private final BlockingQueue<Connection> closed = new LinkedBlockingQueue<>();
        private final BlockingQueue<TamaracktrackException> failures = new LinkedBlockingQueue<>();

        @Override
        public void onOpen(Connection connection) {
            opened.add(connection);
        }

        @Override
        public void onMessage(Connection connection, Message message) {
            messages.add(message);
        }

        @Override
        public void onClosed(Connection connection) {
            closed.add(connection);
        }

        @Override
        public void onConnectFailed(TamaracktrackException failure) {
            failures.add(failure);
        }

        Connection connection() {
            return next(opened);
        }

        Message message() {
            return next(messages);
        }

        Connection closed() {
            return next(closed);
        }

        TamaracktrackException connectFailure() {
            return next(failures);
        }

        private static <T> T next(BlockingQueue<T> queue) {
            try {
                T value = queue.poll(LIMIT_SECONDS, TimeUnit.SECONDS);
                assertThat(value).isNotNull();
                return value;
            } catch (InterruptedException interrupted) {
                throw new AssertionError(interrupted);
            }
        }
    }
}
