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
    private final RecordingHandler serverHandler = new RecordingHandler();
    private final RecordingHandler clientHandler = new RecordingHandler();

    @AfterEach
    void closeTransports() {
        client.close();
        server.close();
    }

    @Test
    void shouldDeliverTheFieldsOfAMessageUnchanged() {
        client.connect(server.listen(ANY_PORT, serverHandler), clientHandler);
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

        assertThat(clientHandler.connection().send(sent)).isTrue();

        Message.Submit received = (Message.Submit) serverHandler.message();
        assertThat(received.body()).isEqualTo(sent.body());
        assertThat(received.model()).isEqualTo(sent.model());
        assertThat(received.adapter()).isEmpty();
        assertThat(received.attempt()).isEqualTo(sent.attempt());
        assertThat(received.headers()).isEqualTo(sent.headers());
    }

    @Test
    void shouldKeepTheOrderWhenManyMessagesAreSentInBothDirections() {
        client.connect(server.listen(ANY_PORT, serverHandler), clientHandler);
        Connection fromClient = clientHandler.connection();
        Connection fromServer = serverHandler.connection();

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
                            assertThat(((Message.Credit) serverHandler.message()).bytes())
                                    .isEqualTo(number);
                            assertThat(((Message.Chunk) clientHandler.message()).sequence())
                                    .isEqualTo(number);
                        });
    }

    @Test
    void shouldNotifyBothHandlersWhenOneSideCloses() {
        client.connect(server.listen(ANY_PORT, serverHandler), clientHandler);
        Connection fromClient = clientHandler.connection();
        serverHandler.connection();

        fromClient.close();

        assertThat(serverHandler.closed()).isNotNull();
        assertThat(clientHandler.closed()).isNotNull();
        assertThat(fromClient.send(new Message.LoadQuery())).isFalse();
    }

    // Guards against treating a frozen daemon as one that has received all messages.
    @Test
    void shouldReportTheQueuedBytesWhileThePeerDoesNotRead() {
        CompletableFuture<Void> readingAllowed = new CompletableFuture<>();
        client.connect(server.listen(ANY_PORT, new BlockedHandler(readingAllowed)), clientHandler);
        Connection fromClient = clientHandler.connection();
        byte[] payload = new byte[1024 * 1024];

        IntStream.range(0, 24)
                .forEach(number -> fromClient.send(new Message.Chunk(ATTEMPT, number, payload)));
        assertThat(fromClient.queuedBytes())
                .isIn(Range.closed(payload.length + 0L, 25L * payload.length));

        readingAllowed.complete(null);
        long untilNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
        while (fromClient.queuedBytes() > 0 && System.nanoTime() < untilNanos) {
            Thread.onSpinWait();
        }
        assertThat(fromClient.queuedBytes()).isEqualTo(0);
    }

    /**
     * A handler that blocks its connection's thread, so that nothing is read, until the future is
     * completed.
     */
    private record BlockedHandler(CompletableFuture<Void> readingAllowed)
            implements ConnectionHandler {
        @Override
        public void onOpen(Connection connection) {
            readingAllowed.join();
        }

        @Override
        public void onMessage(Connection connection, Message message) {
            // The test only checks the size of the send queue.
        }

        @Override
        public void onClosed(Connection connection) {
            // Expected when the transport is closed after the test.
        }

        @Override
        public void onConnectFailed(TamaracktrackException failure) {
            throw failure;
        }
    }

    @Nested
    class Failures {

        @Test
        void shouldReportUnreachableWhenNoServerListens() throws IOException {
            InetSocketAddress free;
            try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
                free = (InetSocketAddress) socket.getLocalSocketAddress();
            }

            client.connect(free, clientHandler);

            assertThat(clientHandler.connectFailure().code())
                    .isEqualTo(ErrorCode.TARGET_UNREACHABLE);
        }

        @Test
        void shouldRefuseAPeerThatHasAnotherSecret() {
            // A peer connects with another secret. The handshake fails, and the connection is
            // closed before any message is read.
            XnioFrameTransport untrustedPeer = XnioFrameTransport.of("guess");
            try {
                untrustedPeer.connect(server.listen(ANY_PORT, serverHandler), clientHandler);

                assertThat(clientHandler.connectFailure().code()).isEqualTo(ErrorCode.PEER_REFUSED);
                assertThat(serverHandler.opened.peek()).isNull();
            } finally {
                untrustedPeer.close();
            }
        }

        @Test
        void shouldReportUnreachableWhenThePeerAcceptsButDoesNotCompleteTheHandshake()
                throws IOException {
            // The kernel of a frozen process accepts the connection, but the handshake never
            // completes. The initiator must be notified, or its requests would wait indefinitely.
            try (ServerSocket frozenPeer =
                    new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
                client.connect(
                        (InetSocketAddress) frozenPeer.getLocalSocketAddress(), clientHandler);

                assertThat(clientHandler.connectFailure().code())
                        .isEqualTo(ErrorCode.TARGET_UNREACHABLE);
            }
        }

        @Test
        void shouldCloseTheConnectionWhenAnUnauthenticatedPeerSendsAnOversizedFrame()
                throws IOException {
            InetSocketAddress address = server.listen(ANY_PORT, serverHandler);
            try (Socket untrustedPeer = new Socket(address.getAddress(), address.getPort())) {
                untrustedPeer.getOutputStream().write(new byte[] {0x7f, 0, 0, 0, 1});

                assertThat(untrustedPeer.getInputStream().read()).isEqualTo(-1);
            }
        }
    }

    private static final class RecordingHandler implements ConnectionHandler {
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
