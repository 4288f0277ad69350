package org.tamaracktrack.daemon.entry;

import io.undertow.io.IoCallback;
import io.undertow.io.Sender;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.jboss.logging.Logger;
import org.tamaracktrack.daemon.connection.CallerConnection;
import org.tamaracktrack.daemon.connection.ConnectionHeaders;
import org.xnio.IoUtils;

/** Sends the answer to a caller through Undertow without blocking. */
final class UndertowCallerChannel implements CallerChannel {
    private static final Logger LOG = Logger.getLogger(UndertowCallerChannel.class);
    private static final long WRITE_TIMEOUT_MILLIS = 30_000;
    private static final long MILLIS_PER_SECOND = 1_000;
    private static final Set<String> SERVER_HEADERS = Set.of("date", "server");

    private final HttpServerExchange exchange;
    private final CallerConnection connection;
    private final BooleanSupplier lastOnConnection;
    private final Deque<byte[]> pendingParts = new ArrayDeque<>();
    private Listener listener;
    private boolean writing;
    private boolean lastPartQueued;
    private boolean completed;
    private long startedWrites;

    private UndertowCallerChannel(
            HttpServerExchange exchange,
            CallerConnection connection,
            BooleanSupplier lastOnConnection) {
        this.exchange = exchange;
        this.connection = connection;
        this.lastOnConnection = lastOnConnection;
    }

    /**
     * Returns a channel. The exchange must be dispatched before the channel is used.
     *
     * @param exchange the exchange
     * @param connection the connection of the exchange
     * @param lastOnConnection whether to close the connection after the answer; evaluated when the
     *     head of the answer is written
     */
    static UndertowCallerChannel of(
            HttpServerExchange exchange,
            CallerConnection connection,
            BooleanSupplier lastOnConnection) {
        return new UndertowCallerChannel(exchange, connection, lastOnConnection);
    }

    @Override
    public void execute(Runnable task) {
        try {
            exchange.getIoThread().execute(task);
        } catch (RejectedExecutionException stopped) {
            LOG.debugf("event=caller-task-dropped reason=stopped");
        }
    }

    @Override
    public void executeAfter(long delayMillis, Runnable task) {
        exchange.getIoThread().executeAfter(task, Math.max(1, delayMillis), TimeUnit.MILLISECONDS);
    }

    @Override
    public void listen(Listener newListener) {
        listener = newListener;
        connection.onClosed(this::onConnectionClosed);
        connection.detectDisconnect(exchange);
    }

    @Override
    public void detectDisconnect() {
        if (!completed && connection.isClosedNow()) {
            onConnectionClosed();
        }
    }

    private void onConnectionClosed() {
        if (!completed) {
            completed = true;
            listener.onDisconnected();
            listener.onCompleted();
        }
    }

    @Override
    public void sendWhole(int status, Map<String, String> headers, byte[] body) {
        if (!completed) {
            putHead(status, headers);
            exchange.setResponseContentLength(body.length);
            lastPartQueued = true;
            enqueue(body);
        }
    }

    @Override
    public void sendError(CallerError error) {
        if (error.retryAfterMillis() >= 0) {
            long seconds = (error.retryAfterMillis() + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND;
            exchange.getResponseHeaders().put(Headers.RETRY_AFTER, Long.toString(seconds));
        }
        sendWhole(
                error.code().status(), Map.of("content-type", "application/json"), error.toJson());
    }

    @Override
    public void sendHead(int status, Map<String, String> headers) {
        if (!completed) {
            putHead(status, headers);
            // On a connection that is closed after its answer, Undertow marks the end of a body of
            // unknown length by closing the connection, so a truncated stream would appear
            // complete. With chunked encoding the client detects the missing last chunk.
            exchange.getResponseHeaders()
                    .put(Headers.TRANSFER_ENCODING, Headers.CHUNKED.toString());
        }
    }

    private void putHead(int status, Map<String, String> headers) {
        exchange.setStatusCode(status);
        headers.entrySet().stream()
                .filter(
                        header ->
                                !SERVER_HEADERS.contains(header.getKey())
                                        && !ConnectionHeaders.contains(header.getKey()))
                .forEach(
                        header ->
                                exchange.getResponseHeaders()
                                        .put(
                                                HttpString.tryFromString(header.getKey()),
                                                header.getValue()));
        if (lastOnConnection.getAsBoolean()) {
            exchange.setPersistent(false);
        }
    }

    @Override
    public void sendPart(byte[] bytes) {
        if (!completed) {
            enqueue(bytes);
        }
    }

    @Override
    public void sendEnd() {
        if (!completed) {
            lastPartQueued = true;
            writeNext();
        }
    }

    private void enqueue(byte[] bytes) {
        pendingParts.add(bytes);
        writeNext();
    }

    private void writeNext() {
        if (writing || completed) {
            return;
        }
        byte[] next = pendingParts.poll();
        if (next != null) {
            write(next);
        } else if (lastPartQueued) {
            finish();
        }
    }

    private void write(byte[] bytes) {
        writing = true;
        long writeNumber = ++startedWrites;
        // Without a timeout, a caller that stops reading would occupy its connection and the parts
        // that wait to be written without limit.
        executeAfter(WRITE_TIMEOUT_MILLIS, () -> abortIfStalledAt(writeNumber));
        exchange.getResponseSender()
                .send(
                        ByteBuffer.wrap(bytes),
                        new IoCallback() {
                            @Override
                            public void onComplete(HttpServerExchange sameExchange, Sender sender) {
                                execute(() -> onPartWritten(bytes.length));
                            }

                            @Override
                            public void onException(
                                    HttpServerExchange sameExchange,
                                    Sender sender,
                                    IOException failure) {
                                execute(UndertowCallerChannel.this::abort);
                            }
                        });
    }

    private void abortIfStalledAt(long writeNumber) {
        if (writing && !completed && startedWrites == writeNumber) {
            abort();
        }
    }

    private void onPartWritten(int bytes) {
        writing = false;
        if (!completed) {
            listener.onWritten(bytes);
            writeNext();
        }
    }

    private void finish() {
        completed = true;
        connection.onClosed(() -> {});
        exchange.endExchange();
        listener.onCompleted();
    }

    // Ending the chunked body properly would make a truncated answer appear complete. If the
    // connection is closed before the last chunk, every HTTP library reports an error.
    @Override
    public void abort() {
        pendingParts.clear();
        IoUtils.safeClose(exchange.getConnection());
        onConnectionClosed();
    }
}
