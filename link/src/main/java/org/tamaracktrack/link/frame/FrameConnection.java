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

/** One connection: the handshake, then messages. Reads and writes on its input/output thread. */
final class FrameConnection implements Connection {
    static final int MAXIMUM_FRAME_BYTES = 16 * 1024 * 1024;
    private static final Logger LOG = Logger.getLogger(FrameConnection.class);
    private static final long HANDSHAKE_MILLIS = 3_000;
    private static final int FRAMES_AT_ONCE = 64;

    private enum State {
        PROVING,
        OPEN,
        CLOSED
    }

    private final StreamConnection stream;
    private final ConnectionHandler handler;
    private final Handshake handshake;
    private final boolean initiator;
    private final MessageCodec codec;
    private final FrameDecoder decoder = FrameDecoder.of(Handshake.MAXIMUM_FRAME_BYTES);
    private final AtomicReference<State> state = new AtomicReference<>(State.PROVING);
    private final Deque<ByteBuffer> queue = new ArrayDeque<>();
    private final ByteBuffer input;
    private final long maximumQueuedBytes;
    private final String remote;
    private long queuedBytes;

    private FrameConnection(
            StreamConnection stream,
            ConnectionHandler handler,
            Handshake handshake,
            boolean initiator,
            XnioFrameTransport.Format format) {
        this.stream = stream;
        this.codec = format.codec();
        this.input = ByteBuffer.allocate(format.readBytes());
        this.maximumQueuedBytes = format.queuedBytes();
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
            XnioFrameTransport.Format format) {
        FrameConnection connection =
                new FrameConnection(stream, handler, handshake, initiator, format);
        connection.begin();
        return connection;
    }

    private void begin() {
        stream.getSourceChannel().getReadSetter().set(channel -> read());
        stream.getSinkChannel().getWriteSetter().set(channel -> write());
        stream.setCloseListener(channel -> finish(State.CLOSED, Optional.empty()));
        if (initiator) {
            enqueue(handshake.opening());
        }
        // A frozen peer's kernel still accepts connections, and a stranger may open one and say
        // nothing; either would hold this connection, and whoever waits for it, for good.
        stream.getIoThread()
                .executeAfter(this::endHandshake, HANDSHAKE_MILLIS, TimeUnit.MILLISECONDS);
        stream.getSourceChannel().resumeReads();
    }

    private void endHandshake() {
        if (state.get() == State.PROVING) {
            fail(ErrorCode.TARGET_UNREACHABLE, "no proof of the shared secret in time");
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
        synchronized (queue) {
            return queuedBytes;
        }
    }

    private boolean enqueue(byte[] body) {
        synchronized (queue) {
            // A peer that stops reading would let this queue grow until the heap is full and every
            // other connection suffers; past the bound the sender is told that nothing was queued.
            if (queuedBytes + body.length > maximumQueuedBytes || state.get() == State.CLOSED) {
                return false;
            }
            queue.add(FrameDecoder.encode(body));
            queuedBytes += body.length + FrameDecoder.HEADER_BYTES;
        }
        stream.getSinkChannel().wakeupWrites();
        return true;
    }

    private void write() {
        try {
            ConduitStreamSinkChannel sink = stream.getSinkChannel();
            ByteBuffer[] batch = head();
            while (batch.length > 0 && sink.write(batch, 0, batch.length) > 0) {
                dropWritten();
                batch = head();
            }
            if (batch.length == 0 && sink.flush()) {
                suspendWhenEmpty(sink);
            }
        } catch (IOException failure) {
            fail(ErrorCode.CONNECTION_CLOSED, "the connection broke");
        }
    }

    private ByteBuffer[] head() {
        synchronized (queue) {
            return queue.stream().limit(FRAMES_AT_ONCE).toArray(ByteBuffer[]::new);
        }
    }

    private void dropWritten() {
        synchronized (queue) {
            while (!queue.isEmpty() && !queue.peek().hasRemaining()) {
                queuedBytes -= queue.poll().capacity();
            }
        }
    }

    private void suspendWhenEmpty(ConduitStreamSinkChannel sink) {
        synchronized (queue) {
            if (queue.isEmpty()) {
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
                fail(ErrorCode.CONNECTION_CLOSED, "the other end closed the connection");
            }
        } catch (IOException failure) {
            fail(ErrorCode.CONNECTION_CLOSED, "the connection broke");
        } catch (TamaracktrackException failure) {
            LOG.warnf("event=frame-refused remote=%s code=%s", remote, failure.code());
            fail(failure.code(), failure.getMessage());
        }
    }

    private void receive(byte[] frame) {
        if (state.get() == State.PROVING) {
            prove(frame);
        } else if (state.get() == State.OPEN) {
            handler.onMessage(this, codec.decode(frame));
        }
    }

    private void prove(byte[] frame) {
        Handshake.Step step = handshake.receive(frame);
        step.reply().ifPresent(this::enqueue);
        if (step.proved() && state.compareAndSet(State.PROVING, State.OPEN)) {
            decoder.allow(MAXIMUM_FRAME_BYTES);
            handler.onOpen(this);
        }
    }

    @Override
    public void close() {
        stream.getIoThread()
                .execute(() -> fail(ErrorCode.CONNECTION_CLOSED, "closed by this side"));
    }

    private void fail(ErrorCode code, String message) {
        finish(State.CLOSED, Optional.of(TamaracktrackException.of(code, message)));
    }

    private void finish(State next, Optional<TamaracktrackException> failure) {
        State before = state.getAndSet(next);
        IoUtils.safeClose(stream);
        synchronized (queue) {
            queue.clear();
        }
        if (before == State.OPEN) {
            handler.onClosed(this);
        } else if (before == State.PROVING && initiator) {
            handler.onConnectFailed(
                    TamaracktrackException.of(
                            connectCode(failure), "can't open a connection to " + remote));
        }
    }

    private static ErrorCode connectCode(Optional<TamaracktrackException> failure) {
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
