package org.tamaracktrack.link.frame;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.security.SecureRandom;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.jboss.logging.Logger;
import org.tamaracktrack.core.error.ErrorCode;
import org.tamaracktrack.core.error.TamaracktrackException;
import org.xnio.IoFuture;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.Xnio;
import org.xnio.XnioWorker;
import org.xnio.channels.AcceptingChannel;

/** A transport over XNIO, the input/output library on which Undertow is built. */
public final class XnioFrameTransport implements FrameTransport {
    private static final Logger LOG = Logger.getLogger(XnioFrameTransport.class);
    private static final int IO_THREADS = 2;
    private static final int BACKLOG = 1024;
    private static final long CONNECT_TIMEOUT_MILLIS = 3_000;

    private final String sharedSecret;
    private final XnioWorker startWorker;
    private final boolean ownsWorker;
    private final ConnectionOptions connectionOptions;
    private final SecureRandom random = new SecureRandom();
    private final Set<AcceptingChannel<StreamConnection>> servers = ConcurrentHashMap.newKeySet();

    private XnioFrameTransport(
            String sharedSecret,
            XnioWorker worker,
            boolean ownsWorker,
            ConnectionOptions connectionOptions) {
        this.sharedSecret = sharedSecret;
        this.startWorker = worker;
        this.ownsWorker = ownsWorker;
        this.connectionOptions = connectionOptions;
    }

    /**
     * The codec and the memory limits of connections.
     *
     * @param codec encodes and decodes messages
     * @param readBufferBytes the size of the read buffer of a connection, in bytes
     * @param maximumQueuedBytes the maximum size of the send queue of a connection, in bytes;
     *     messages beyond it are rejected
     */
    public record ConnectionOptions(
            MessageCodec codec, int readBufferBytes, long maximumQueuedBytes) {
        /** The options for connections that carry requests and responses. */
        static final ConnectionOptions FOR_REQUESTS =
                new ConnectionOptions(new JacksonMessageCodec(), 64 * 1024, 32L * 1024 * 1024);
    }

    /**
     * Starts a transport with threads of its own.
     *
     * @param sharedSecret the secret with which both sides authenticate each other
     * @return the transport
     * @throws TamaracktrackException with {@code INTERNAL} if the threads can't be started
     */
    public static XnioFrameTransport of(String sharedSecret) {
        Objects.requireNonNull(sharedSecret, "sharedSecret is null");
        try {
            return new XnioFrameTransport(
                    sharedSecret, startWorker(), true, ConnectionOptions.FOR_REQUESTS);
        } catch (IOException failure) {
            throw TamaracktrackException.of(ErrorCode.INTERNAL, "can't start XNIO", failure);
        }
    }

    /**
     * Returns a transport on the threads of an existing worker.
     *
     * @param sharedSecret the secret with which both sides authenticate each other
     * @param worker the worker; not stopped when the transport is closed
     * @param connectionOptions the codec and the memory limits of connections
     * @return the transport
     */
    public static XnioFrameTransport sharing(
            String sharedSecret, XnioWorker worker, ConnectionOptions connectionOptions) {
        Objects.requireNonNull(sharedSecret, "sharedSecret is null");
        Objects.requireNonNull(worker, "worker is null");
        Objects.requireNonNull(connectionOptions, "format is null");
        return new XnioFrameTransport(sharedSecret, worker, false, connectionOptions);
    }

    private static XnioWorker startWorker() throws IOException {
        return Xnio.getInstance()
                .createWorker(
                        OptionMap.builder()
                                .set(Options.WORKER_IO_THREADS, IO_THREADS)
                                .set(Options.WORKER_TASK_CORE_THREADS, 1)
                                .set(Options.WORKER_TASK_MAX_THREADS, 1)
                                .set(Options.WORKER_NAME, "frames")
                                .set(Options.THREAD_DAEMON, true)
                                .getMap());
    }

    private static OptionMap socketOptions() {
        return OptionMap.builder()
                .set(Options.TCP_NODELAY, true)
                .set(Options.REUSE_ADDRESSES, true)
                .set(Options.BACKLOG, BACKLOG)
                .getMap();
    }

    @Override
    public InetSocketAddress listen(InetSocketAddress address, ConnectionHandler handler) {
        Objects.requireNonNull(address, "address is null");
        Objects.requireNonNull(handler, "handler is null");
        try {
            AcceptingChannel<StreamConnection> server =
                    startWorker.createStreamConnectionServer(
                            address, accepting -> accept(accepting, handler), socketOptions());
            servers.add(server);
            server.resumeAccepts();
            return server.getLocalAddress(InetSocketAddress.class);
        } catch (IOException failure) {
            throw TamaracktrackException.of(
                    ErrorCode.INVALID_SETTINGS, "can't listen on " + address, failure);
        }
    }

    private void accept(
            AcceptingChannel<? extends StreamConnection> server, ConnectionHandler handler) {
        try {
            StreamConnection stream = server.accept();
            while (stream != null) {
                FrameConnection.start(
                        stream,
                        handler,
                        Handshake.responder(sharedSecret, nonce()),
                        false,
                        connectionOptions);
                stream = server.accept();
            }
        } catch (IOException failure) {
            LOG.warnf("event=accept-failed cause=%s", failure.getMessage());
        }
    }

    @Override
    public void connect(InetSocketAddress address, ConnectionHandler handler) {
        Objects.requireNonNull(address, "address is null");
        Objects.requireNonNull(handler, "handler is null");
        IoFuture<StreamConnection> connecting =
                startWorker.openStreamConnection(
                        address,
                        stream ->
                                FrameConnection.start(
                                        stream,
                                        handler,
                                        Handshake.initiator(sharedSecret, nonce()),
                                        true,
                                        connectionOptions),
                        socketOptions());
        connecting.addNotifier(
                (future, attachment) -> reportConnectFailure(future, address, handler), null);
        startWorker
                .getIoThread()
                .executeAfter(connecting::cancel, CONNECT_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }

    private static void reportConnectFailure(
            IoFuture<? extends StreamConnection> future,
            InetSocketAddress address,
            ConnectionHandler handler) {
        if (future.getStatus() == IoFuture.Status.DONE) {
            return;
        }
        Optional<IOException> cause =
                future.getStatus() == IoFuture.Status.FAILED
                        ? Optional.of(future.getException())
                        : Optional.empty();
        handler.onConnectFailed(
                TamaracktrackException.of(
                        ErrorCode.TARGET_UNREACHABLE,
                        "can't connect to " + address,
                        cause.orElse(null)));
    }

    private byte[] nonce() {
        byte[] nonce = new byte[Handshake.NONCE_BYTES];
        random.nextBytes(nonce);
        return nonce;
    }

    @Override
    public void close() {
        servers.forEach(IoUtils::safeClose);
        if (ownsWorker) {
            startWorker.shutdownNow();
        }
    }
}
