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
 * A caller's connection over its requests. There is one close listener for all of them, since
 * Undertow keeps every listener for as long as the connection lives.
 */
public final class CallerConnection {
    private static final AttachmentKey<CallerConnection> KEY =
            AttachmentKey.create(CallerConnection.class);

    private final AtomicInteger open;
    private Runnable onClosed = () -> {};

    private CallerConnection(AtomicInteger open) {
        this.open = open;
    }

    /**
     * Returns the connection of an exchange.
     *
     * @param exchange the exchange
     * @param open how many connections there are
     * @return its connection
     */
    public static CallerConnection of(HttpServerExchange exchange, AtomicInteger open) {
        ServerConnection connection = exchange.getConnection();
        return Optional.ofNullable(connection.getAttachment(KEY))
                .orElseGet(() -> register(connection, open));
    }

    private static CallerConnection register(ServerConnection connection, AtomicInteger open) {
        CallerConnection created = new CallerConnection(open);
        connection.putAttachment(KEY, created);
        open.incrementAndGet();
        connection.addCloseListener(closed -> created.closedOn(connection.getIoThread()));
        return created;
    }

    private void closedOn(XnioIoThread thread) {
        try {
            thread.execute(this::closed);
        } catch (RejectedExecutionException stopped) {
            closed();
        }
    }

    private void closed() {
        open.decrementAndGet();
        onClosed.run();
    }

    /**
     * Sets what runs when the connection closes, in place of what did before.
     *
     * @param task the task
     */
    public void onClosed(Runnable task) {
        onClosed = task;
    }

    /**
     * Reads on after the request, so that a caller that goes away is noticed while it waits;
     * Undertow itself reads again only after the answer.
     *
     * @param exchange the exchange, whose request has been read
     */
    public static void watch(HttpServerExchange exchange) {
        if (exchange.getConnection() instanceof HttpServerConnection connection
                && connection.getExtraBytes() == null) {
            ConduitStreamSourceChannel source = connection.getChannel().getSourceChannel();
            source.setReadListener(
                    (ChannelListener<ConduitStreamSourceChannel>) any -> readMore(connection));
            connection.getOriginalSourceConduit().resumeReads();
        }
    }

    private static void readMore(HttpServerConnection connection) {
        PooledByteBuffer pooled = connection.getByteBufferPool().allocate();
        ByteBuffer buffer = pooled.getBuffer();
        try {
            int count = connection.getOriginalSourceConduit().read(buffer);
            if (count > 0) {
                // The caller's next request, sent ahead: it is kept for after this answer.
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
