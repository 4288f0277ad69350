package org.tamaracktrack.daemon.connection;

import io.undertow.connector.PooledByteBuffer;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.ServerConnection;
import io.undertow.server.protocol.http.HttpServerConnection;
import io.undertow.util.AttachmentKey;
import io.undertow.util.ImmediatePooledByteBuffer;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Optional;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.atomic.AtomicInteger;
import org.tamaracktrack.link.http.AnswerMemory;
import org.xnio.ChannelListener;
import org.xnio.IoUtils;
import org.xnio.XnioIoThread;
import org.xnio.conduits.ConduitStreamSourceChannel;

/**
 * A caller's connection across all requests sent on it. It registers a single close listener,
 * because Undertow keeps every listener until the connection closes.
 */
public final class CallerConnection {
    private static final AttachmentKey<CallerConnection> KEY =
            AttachmentKey.create(CallerConnection.class);

    /**
     * The bytes that are read behind a request and kept for the next one. Beyond them nothing is
     * read, and the end of the connection is not seen, until the response is sent.
     */
    private static final int MAX_READ_AHEAD_BYTES = 64 * 1024;

    private static final int PART_OF_HEAP = 16;

    /** Limits what is kept for all connections of the process together. */
    private static final AnswerMemory READ_AHEAD_MEMORY =
            AnswerMemory.of(Runtime.getRuntime().maxMemory() / PART_OF_HEAP);

    private final ServerConnection connection;
    private final AtomicInteger openConnections;
    private Runnable onClosed = () -> {};
    private int readAheadBytes;
    private boolean watched;
    private boolean closed;

    private CallerConnection(ServerConnection connection, AtomicInteger openConnections) {
        this.connection = connection;
        this.openConnections = openConnections;
    }

    /**
     * Returns the connection of an exchange, and registers it with its first exchange.
     *
     * @param exchange the exchange
     * @param openConnections the number of open connections; incremented for a new connection and
     *     decremented when it closes
     * @return the connection
     */
    public static CallerConnection of(HttpServerExchange exchange, AtomicInteger openConnections) {
        ServerConnection connection = exchange.getConnection();
        return Optional.ofNullable(connection.getAttachment(KEY))
                .orElseGet(() -> register(connection, openConnections));
    }

    private static CallerConnection register(
            ServerConnection connection, AtomicInteger openConnections) {
        CallerConnection created = new CallerConnection(connection, openConnections);
        connection.putAttachment(KEY, created);
        openConnections.incrementAndGet();
        connection.addCloseListener(any -> created.runClosedOn(connection.getIoThread()));
        return created;
    }

    private void runClosedOn(XnioIoThread thread) {
        try {
            thread.execute(this::handleClosed);
        } catch (RejectedExecutionException workerStopped) {
            handleClosed();
        }
    }

    private void handleClosed() {
        if (!closed) {
            closed = true;
            openConnections.decrementAndGet();
            onClosed.run();
        }
    }

    /**
     * Sets the task that runs on the connection's input/output thread when it closes, and replaces
     * the one set before. If that thread has stopped, the task runs on the closing thread.
     *
     * @param task the task
     */
    public void onClosed(Runnable task) {
        onClosed = task;
    }

    /**
     * Keeps reading from the connection until the response is sent, so that a disconnect is
     * detected while the caller waits. Undertow itself reads again only after the response.
     *
     * @param exchange the exchange, whose request has been read completely
     */
    public void detectDisconnect(HttpServerExchange exchange) {
        if (watched || !(connection instanceof HttpServerConnection http)) {
            return;
        }
        watched = true;
        skipEmptyLines(http);
        ConduitStreamSourceChannel source = http.getChannel().getSourceChannel();
        source.setReadListener((ChannelListener<ConduitStreamSourceChannel>) any -> readAhead());
        http.getOriginalSourceConduit().resumeReads();
        // Undertow registers its own listener for the next request only if reads are suspended.
        exchange.addExchangeCompleteListener(
                (ended, next) -> {
                    watched = false;
                    release(readAheadBytes);
                    http.getOriginalSourceConduit().suspendReads();
                    next.proceed();
                });
    }

    /**
     * Reads what the connection has received so far, and returns whether it is closed. The caller
     * may have closed it without the input/output thread having got to it yet. Runs the task set by
     * {@link #onClosed} before it returns true. To be called on the connection's input/output
     * thread.
     *
     * @return whether the caller has left
     */
    public boolean isClosedNow() {
        if (watched && !closed) {
            readAhead();
        }
        return closed;
    }

    private void readAhead() {
        HttpServerConnection http = (HttpServerConnection) connection;
        try {
            int count = 1;
            while (count > 0 && watched) {
                if (!tryReserve(http)) {
                    http.getOriginalSourceConduit().suspendReads();
                    return;
                }
                count = readPart(http);
                release(http.getBufferSize() - Math.max(count, 0));
            }
            if (count < 0) {
                close();
            }
        } catch (IOException broken) {
            close();
        }
    }

    private void close() {
        IoUtils.safeClose(connection);
        handleClosed();
    }

    // What is skipped counts as well, so that a caller that sends without end stops being read.
    private boolean tryReserve(HttpServerConnection http) {
        int partBytes = http.getBufferSize();
        if (readAheadBytes + partBytes > MAX_READ_AHEAD_BYTES
                || !READ_AHEAD_MEMORY.tryReserve(partBytes)) {
            return false;
        }
        readAheadBytes += partBytes;
        return true;
    }

    private void release(int bytes) {
        readAheadBytes -= bytes;
        READ_AHEAD_MEMORY.release(bytes);
    }

    // What is received belongs to a pipelined request and is kept until this response is sent.
    private static int readPart(HttpServerConnection http) throws IOException {
        PooledByteBuffer pooled = http.getByteBufferPool().allocate();
        ByteBuffer buffer = pooled.getBuffer();
        boolean kept = false;
        try {
            int count = http.getOriginalSourceConduit().read(buffer);
            buffer.flip();
            PooledByteBuffer earlier = http.getExtraBytes();
            if (count > 0 && earlier == null) {
                http.setExtraBytes(pooled);
                kept = true;
                skipEmptyLines(http);
            } else if (count > 0) {
                ByteBuffer joined =
                        ByteBuffer.allocate(earlier.getBuffer().remaining() + buffer.remaining());
                joined.put(earlier.getBuffer()).put(buffer).flip();
                earlier.close();
                http.setExtraBytes(new ImmediatePooledByteBuffer(joined));
            }
            return count;
        } finally {
            if (!kept) {
                pooled.close();
            }
        }
    }

    // Some clients send CR LF behind a body, which RFC 9112 (2.2) asks servers to ignore.
    private static void skipEmptyLines(HttpServerConnection http) {
        PooledByteBuffer extra = http.getExtraBytes();
        if (extra == null) {
            return;
        }
        ByteBuffer buffer = extra.getBuffer();
        while (buffer.hasRemaining() && isLineEnd(buffer.get(buffer.position()))) {
            buffer.get();
        }
        if (!buffer.hasRemaining()) {
            http.setExtraBytes(null);
            extra.close();
        }
    }

    private static boolean isLineEnd(byte next) {
        return next == '\r' || next == '\n';
    }
}
