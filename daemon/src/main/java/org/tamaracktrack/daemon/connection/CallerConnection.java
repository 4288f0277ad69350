package org.tamaracktrack.daemon.connection;

import io.undertow.connector.PooledByteBuffer;
import io.undertow.server.AbstractServerConnection;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.ServerConnection;
import io.undertow.server.protocol.http.HttpServerConnection;
import io.undertow.util.AttachmentKey;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Optional;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.atomic.AtomicInteger;
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

    private final AtomicInteger openConnections;
    private Runnable onClosed = () -> {};

    private CallerConnection(AtomicInteger openConnections) {
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
        CallerConnection created = new CallerConnection(openConnections);
        connection.putAttachment(KEY, created);
        openConnections.incrementAndGet();
        connection.addCloseListener(closed -> created.runClosedOn(connection.getIoThread()));
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
        openConnections.decrementAndGet();
        onClosed.run();
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
     * Keeps reading from the connection after the request, so that a disconnect is detected while
     * the caller waits for the response. Undertow itself reads again only after the response.
     *
     * @param exchange the exchange, whose request has been read completely
     */
    public static void detectDisconnect(HttpServerExchange exchange) {
        if (exchange.getConnection() instanceof HttpServerConnection connection
                && connection.getExtraBytes() == null) {
            ConduitStreamSourceChannel source = connection.getChannel().getSourceChannel();
            source.setReadListener(
                    (ChannelListener<ConduitStreamSourceChannel>) any -> readAhead(connection));
            connection.getOriginalSourceConduit().resumeReads();
        }
    }

    private static void readAhead(HttpServerConnection connection) {
        PooledByteBuffer pooled = connection.getByteBufferPool().allocate();
        ByteBuffer buffer = pooled.getBuffer();
        try {
            int count = connection.getOriginalSourceConduit().read(buffer);
            if (count > 0) {
                // These bytes belong to a pipelined request; they are kept until this response is
                // sent.
                connection.getOriginalSourceConduit().suspendReads();
                buffer.flip();
                connection.ungetRequestBytes(pooled);
                return;
            }
            if (count < 0) {
                IoUtils.safeClose(connection);
            }
        } catch (IOException broken) {
            IoUtils.safeClose((AbstractServerConnection) connection);
        }
        pooled.close();
    }
}
