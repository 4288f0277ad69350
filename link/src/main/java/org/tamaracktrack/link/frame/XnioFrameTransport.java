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

/** The transport over XNIO, the input/output library that Undertow brings. */
public final class XnioFrameTransport implements FrameTransport {
    private static final Logger LOG = Logger.getLogger(XnioFrameTransport.class);
    private static final int IO_THREADS = 2;
    private static final int BACKLOG = 1024;
    private static final long CONNECT_MILLIS = 3_000;

    private final String sharedSecret;
    private final XnioWorker worker;
    private final boolean ownWorker;
    private final Format format;
    private final SecureRandom random = new SecureRandom();
    private final Set<AcceptingChannel<StreamConnection>> servers = ConcurrentHashMap.newKeySet();

    private XnioFrameTransport(
            String sharedSecret, XnioWorker worker, boolean ownWorker, Format format) {
        this.sharedSecret = sharedSecret;
        this.worker = worker;
        this.ownWorker = ownWorker;
        this.format = format;
    }

    /**
     * How messages are written, and what a connection may take of memory.
     *
     * @param codec writes and reads messages
     * @param readBytes read at once
     * @param queuedBytes waiting to be sent, beyond which messages are not taken
     */
    public record Format(MessageCodec codec, int readBytes, long queuedBytes) {
        /** For connections that carry requests and answers. */
        static final Format REQUESTS =
                new Format(new EveryMessageCodec(), 64 * 1024, 32L * 1024 * 1024);
    }

    /**
     * Starts a transport.
     *
     * @param sharedSecret what both ends prove to know
     * @return the transport
     * @throws TamaracktrackException with {@code INTERNAL} when its threads can't be started
     */
    public static XnioFrameTransport of(String sharedSecret) {
        Objects.requireNonNull(sharedSecret, "sharedSecret is null");
        try {
            return new XnioFrameTransport(sharedSecret, worker(), true, Format.REQUESTS);
        } catch (IOException failure) {
            throw TamaracktrackException.of(ErrorCode.INTERNAL, "can't start XNIO", failure);
        }
    }

    /**
     * Returns a transport on the threads of another part of the program.
     *
     * @param sharedSecret what both ends prove to know
     * @param worker the threads; not stopped when the transport is closed
     * @param format how messages are written, and what a connection may take of memory
     * @return the transport
     */
    public static XnioFrameTransport sharing(
            String sharedSecret, XnioWorker worker, Format format) {
        Objects.requireNonNull(sharedSecret, "sharedSecret is null");
        Objects.requireNonNull(worker, "worker is null");
        Objects.requireNonNull(format, "format is null");
        return new XnioFrameTransport(sharedSecret, worker, false, format);
    }

    private static XnioWorker worker() throws IOException {
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
                    worker.createStreamConnectionServer(
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
            AcceptingChannel<? extends StreamConnection> accepting, ConnectionHandler handler) {
        try {
            StreamConnection stream = accepting.accept();
            while (stream != null) {
                FrameConnection.start(
                        stream, handler, Handshake.responder(sharedSecret, nonce()), false, format);
                stream = accepting.accept();
            }
        } catch (IOException failure) {
            LOG.warnf("event=accept-failed cause=%s", failure.getMessage());
        }
    }

    @Override
    public void connect(InetSocketAddress address, ConnectionHandler handler) {
        Objects.requireNonNull(address, "address is null");
        Objects.requireNonNull(handler, "handler is null");
        IoFuture<StreamConnection> opening =
                worker.openStreamConnection(
                        address,
                        stream ->
                                FrameConnection.start(
                                        stream,
                                        handler,
                                        Handshake.initiator(sharedSecret, nonce()),
                                        true,
                                        format),
                        socketOptions());
        opening.addNotifier((future, attachment) -> report(future, address, handler), null);
        worker.getIoThread().executeAfter(opening::cancel, CONNECT_MILLIS, TimeUnit.MILLISECONDS);
    }

    private static void report(
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
        if (ownWorker) {
            worker.shutdownNow();
        }
    }
}
