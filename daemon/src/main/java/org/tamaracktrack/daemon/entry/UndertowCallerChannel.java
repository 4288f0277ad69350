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

/** The way back to a caller through Undertow, without blocking. */
final class UndertowCallerChannel implements CallerChannel {
    private static final Logger LOG = Logger.getLogger(UndertowCallerChannel.class);
    private static final long STALLED_MILLIS = 30_000;
    private static final long MILLIS_PER_SECOND = 1_000;
    private static final Set<String> OWN_HEADERS = Set.of("date", "server");

    private final HttpServerExchange exchange;
    private final CallerConnection connection;
    private final BooleanSupplier lastOnConnection;
    private final Deque<byte[]> parts = new ArrayDeque<>();
    private Listener listener;
    private boolean writing;
    private boolean ended;
    private boolean done;
    private long writtenParts;

    private UndertowCallerChannel(
            HttpServerExchange exchange,
            CallerConnection connection,
            BooleanSupplier lastOnConnection) {
        this.exchange = exchange;
        this.connection = connection;
        this.lastOnConnection = lastOnConnection;
    }

    /**
     * Returns a channel. The exchange must have been dispatched.
     *
     * @param exchange the exchange
     * @param connection its connection
     * @param lastOnConnection whether the connection is to be closed after the answer
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
    public void after(long delayMillis, Runnable task) {
        exchange.getIoThread().executeAfter(task, Math.max(1, delayMillis), TimeUnit.MILLISECONDS);
    }

    @Override
    public void listen(Listener newListener) {
        listener = newListener;
        connection.onClosed(this::closed);
        CallerConnection.detectDisconnect(exchange);
    }

    private void closed() {
        if (!done) {
            done = true;
            listener.onGone();
            listener.onDone();
        }
    }

    @Override
    public void whole(int status, Map<String, String> headers, byte[] body) {
        if (!done) {
            putHead(status, headers);
            exchange.setResponseContentLength(body.length);
            ended = true;
            add(body);
        }
    }

    @Override
    public void error(CallerError error) {
        if (error.retryAfterMillis() >= 0) {
            long seconds = (error.retryAfterMillis() + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND;
            exchange.getResponseHeaders().put(Headers.RETRY_AFTER, Long.toString(seconds));
        }
        whole(error.code().status(), Map.of("content-type", "application/json"), error.json());
    }

    @Override
    public void head(int status, Map<String, String> headers) {
        if (!done) {
            putHead(status, headers);
            // On a connection that is closed after its answer Undertow marks the end of a body of
            // unknown length by closing; a stream that broke would then look whole. Chunked, a
            // missing last chunk shows.
            exchange.getResponseHeaders()
                    .put(Headers.TRANSFER_ENCODING, Headers.CHUNKED.toString());
        }
    }

    private void putHead(int status, Map<String, String> headers) {
        exchange.setStatusCode(status);
        headers.entrySet().stream()
                .filter(
                        header ->
                                !OWN_HEADERS.contains(header.getKey())
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
    public void part(byte[] bytes) {
        if (!done) {
            add(bytes);
        }
    }

    @Override
    public void end() {
        if (!done) {
            ended = true;
            writeNext();
        }
    }

    private void add(byte[] bytes) {
        parts.add(bytes);
        writeNext();
    }

    private void writeNext() {
        if (writing || done) {
            return;
        }
        byte[] next = parts.poll();
        if (next != null) {
            write(next);
        } else if (ended) {
            finish();
        }
    }

    private void write(byte[] bytes) {
        writing = true;
        long part = ++writtenParts;
        // A caller that stops reading would hold its connection and what waits for it for ever.
        after(STALLED_MILLIS, () -> cutIfStalledAt(part));
        exchange.getResponseSender()
                .send(
                        ByteBuffer.wrap(bytes),
                        new IoCallback() {
                            @Override
                            public void onComplete(HttpServerExchange same, Sender sender) {
                                execute(() -> written(bytes.length));
                            }

                            @Override
                            public void onException(
                                    HttpServerExchange same, Sender sender, IOException failure) {
                                execute(UndertowCallerChannel.this::cut);
                            }
                        });
    }

    private void cutIfStalledAt(long part) {
        if (writing && !done && writtenParts == part) {
            cut();
        }
    }

    private void written(int bytes) {
        writing = false;
        if (!done) {
            listener.onWritten(bytes);
            writeNext();
        }
    }

    private void finish() {
        done = true;
        connection.onClosed(() -> {});
        exchange.endExchange();
        listener.onDone();
    }

    // An orderly end of a chunked body would make a part look whole; with the connection closed
    // before the last chunk, every HTTP library reports an error.
    @Override
    public void cut() {
        parts.clear();
        IoUtils.safeClose(exchange.getConnection());
        closed();
    }
}
