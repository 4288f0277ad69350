package org.tamaracktrack.link.frame;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import org.jboss.logging.Logger;
import org.tamaracktrack.core.error.ErrorCode;
import org.tamaracktrack.core.error.TamaracktrackException;
import org.tamaracktrack.core.message.Message;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;
import org.xnio.conduits.ConduitStreamSinkChannel;

/**
 * One connection, which performs the handshake and then carries messages. Reads and writes on its
 * input/output thread.
 */
final class FrameConnection implements Connection {
    static final int MAXIMUM_FRAME_BYTES = 16 * 1024 * 1024;
    private static final Logger LOG = Logger.getLogger(FrameConnection.class);
    private static final long HANDSHAKE_TIMEOUT_MILLIS = 3_000;
    private static final int MAXIMUM_FRAMES_PER_WRITE = 64;

    private enum State {
        HANDSHAKE,
        OPEN,
        CLOSED
    }

    private final StreamConnection stream;
    private final ConnectionHandler handler;
    private final Handshake handshake;
    private final boolean initiator;
    private final MessageCodec codec;
    private final FrameDecoder decoder = FrameDecoder.of(Handshake.MAXIMUM_FRAME_BYTES);
    private final AtomicReference<State> state = new AtomicReference<>(State.HANDSHAKE);
    private final Deque<ByteBuffer> sendQueue = new ArrayDeque<>();
    private final ByteBuffer input;
    private final long maximumQueuedBytes;
    private final String remote;
    private long queuedBytes;

    private FrameConnection(
            StreamConnection stream,
            ConnectionHandler handler,
            Handshake handshake,
            boolean initiator,
            XnioFrameTransport.ConnectionOptions options) {
        this.stream = stream;
        this.codec = options.codec();
        this.input = ByteBuffer.allocate(options.readBufferBytes());
        this.maximumQueuedBytes = options.maximumQueuedBytes();
        this.handler = handler;
        this.handshake = handshake;
        this.initiator = initiator;
        this.remote = String.valueOf(stream.getPeerAddress());
    }

    static FrameConnection start(
            StreamConnection stream,
            ConnectionHandler handler,
            Handshake handshake,
            boolean initiator,
            XnioFrameTransport.ConnectionOptions options) {
        FrameConnection connection =
                new FrameConnection(stream, handler, handshake, initiator, options);
        connection.startHandshake();
        return connection;
    }

    private void startHandshake() {
        stream.getSourceChannel().getReadSetter().set(channel -> read());
        stream.getSinkChannel().getWriteSetter().set(channel -> write());
        stream.setCloseListener(channel -> finish(State.CLOSED, Optional.empty()));
        if (initiator) {
            enqueue(handshake.initialFrame());
        }
        // The kernel of a frozen peer still accepts connections, and an unauthenticated client may
        // connect without sending anything. Without a time limit, either would keep this connection
        // open indefinitely, and requests that wait for it would never end.
        stream.getIoThread()
                .executeAfter(
                        this::failIfHandshakePending,
                        HANDSHAKE_TIMEOUT_MILLIS,
                        TimeUnit.MILLISECONDS);
        stream.getSourceChannel().resumeReads();
    }

    private void failIfHandshakePending() {
        if (state.get() == State.HANDSHAKE) {
            fail(ErrorCode.TARGET_UNREACHABLE, "the handshake did not complete in time");
        }
    }

    @Override
    public boolean send(Message message) {
        if (state.get() != State.OPEN) {
            return false;
        }
        return enqueue(codec.encode(message));
    }

    @Override
    public long queuedBytes() {
        synchronized (sendQueue) {
            return queuedBytes;
        }
    }

    private boolean enqueue(byte[] body) {
        synchronized (sendQueue) {
            // If a peer stops reading, an unbounded queue would grow until the heap is full and all
            // connections are affected. Beyond the bound the message is rejected and the sender is
            // notified.
            if (queuedBytes + body.length > maximumQueuedBytes || state.get() == State.CLOSED) {
                return false;
            }
            sendQueue.add(FrameDecoder.encode(body));
            queuedBytes += body.length + FrameDecoder.HEADER_BYTES;
        }
        stream.getSinkChannel().wakeupWrites();
        return true;
    }

    private void write() {
        try {
            ConduitStreamSinkChannel sink = stream.getSinkChannel();
            ByteBuffer[] batch = nextFrames();
            while (batch.length > 0 && sink.write(batch, 0, batch.length) > 0) {
                removeWrittenFrames();
                batch = nextFrames();
            }
            if (batch.length == 0 && sink.flush()) {
                suspendWritesIfQueueEmpty(sink);
            }
        } catch (IOException failure) {
            fail(ErrorCode.CONNECTION_CLOSED, "input/output error on the connection");
        }
    }

    private ByteBuffer[] nextFrames() {
        synchronized (sendQueue) {
            return sendQueue.stream().limit(MAXIMUM_FRAMES_PER_WRITE).toArray(ByteBuffer[]::new);
        }
    }

    private void removeWrittenFrames() {
        synchronized (sendQueue) {
            while (!sendQueue.isEmpty() && !sendQueue.peek().hasRemaining()) {
                queuedBytes -= sendQueue.poll().capacity();
            }
        }
    }

    private void suspendWritesIfQueueEmpty(ConduitStreamSinkChannel sink) {
        synchronized (sendQueue) {
            if (sendQueue.isEmpty()) {
                sink.suspendWrites();
            }
        }
    }

    private void read() {
        try {
            input.clear();
            int count = stream.getSourceChannel().read(input);
            while (count > 0 && state.get() != State.CLOSED) {
                input.flip();
                decoder.decode(input, this::receive);
                input.clear();
                count = stream.getSourceChannel().read(input);
            }
            if (count < 0) {
                fail(ErrorCode.CONNECTION_CLOSED, "the peer closed the connection");
            }
        } catch (IOException failure) {
            fail(ErrorCode.CONNECTION_CLOSED, "input/output error on the connection");
        } catch (TamaracktrackException failure) {
            LOG.warnf("event=frame-refused remote=%s code=%s", remote, failure.code());
            fail(failure.code(), failure.getMessage());
        }
    }

    private void receive(byte[] frame) {
        if (state.get() == State.HANDSHAKE) {
            continueHandshake(frame);
        } else if (state.get() == State.OPEN) {
            handler.onMessage(this, codec.decode(frame));
        }
    }

    private void continueHandshake(byte[] frame) {
        Handshake.Step step = handshake.receive(frame);
        step.reply().ifPresent(this::enqueue);
        if (step.authenticated() && state.compareAndSet(State.HANDSHAKE, State.OPEN)) {
            decoder.setMaximumBytes(MAXIMUM_FRAME_BYTES);
            handler.onOpen(this);
        }
    }

    @Override
    public void close() {
        stream.getIoThread().execute(() -> fail(ErrorCode.CONNECTION_CLOSED, "closed locally"));
    }

    private void fail(ErrorCode code, String message) {
        finish(State.CLOSED, Optional.of(TamaracktrackException.of(code, message)));
    }

    private void finish(State next, Optional<TamaracktrackException> failure) {
        State previous = state.getAndSet(next);
        IoUtils.safeClose(stream);
        synchronized (sendQueue) {
            sendQueue.clear();
        }
        if (previous == State.OPEN) {
            handler.onClosed(this);
        } else if (previous == State.HANDSHAKE && initiator) {
            handler.onConnectFailed(
                    TamaracktrackException.of(
                            connectErrorCode(failure), "can't open a connection to " + remote));
        }
    }

    private static ErrorCode connectErrorCode(Optional<TamaracktrackException> failure) {
        return failure.map(TamaracktrackException::code)
                .filter(code -> code == ErrorCode.PEER_REFUSED)
                .orElse(ErrorCode.TARGET_UNREACHABLE);
    }

    @Override
    public boolean isOpen() {
        return state.get() == State.OPEN;
    }

    @Override
    public String remote() {
        return remote;
    }
}
