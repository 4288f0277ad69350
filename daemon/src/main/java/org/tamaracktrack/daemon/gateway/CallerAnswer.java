package org.tamaracktrack.daemon.gateway;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Map;
import java.util.function.BooleanSupplier;
import org.tamaracktrack.daemon.connection.ConnectionHeaders;
import org.xnio.IoUtils;
import org.xnio.channels.StreamSinkChannel;

/** Writes one answer to a caller from the traffic thread, without blocking. */
final class CallerAnswer {
    /** With more than this unwritten, reading from the target pauses. */
    private static final int HIGH_WATER_BYTES = 64 * 1024;

    private final HttpServerExchange exchange;
    private final BooleanSupplier lastOnConnection;
    private final Flow flow;
    private final Deque<ByteBuffer> unwritten = new ArrayDeque<>();
    private StreamSinkChannel channel;
    private int unwrittenBytes;
    private boolean ending;
    private boolean ended;
    private boolean full;

    /** Hears how the caller keeps up. */
    interface Flow {
        /** More is unwritten than should be. */
        void onFull();

        /** What was unwritten is written. */
        void onDrained();

        /** The connection broke. */
        void onBroken();
    }

    private CallerAnswer(HttpServerExchange exchange, BooleanSupplier lastOnConnection, Flow flow) {
        this.exchange = exchange;
        this.lastOnConnection = lastOnConnection;
        this.flow = flow;
    }

    static CallerAnswer of(
            HttpServerExchange exchange, BooleanSupplier lastOnConnection, Flow flow) {
        return new CallerAnswer(exchange, lastOnConnection, flow);
    }

    /** Writes a whole answer and ends it. */
    void whole(int status, Map<String, String> headers, byte[] body) {
        head(status, headers);
        exchange.getResponseHeaders().put(Headers.CONTENT_LENGTH, body.length);
        open();
        write(ByteBuffer.wrap(body));
        end();
    }

    /** Begins an answer whose body follows in parts. */
    void begin(int status, Map<String, String> headers) {
        head(status, headers);
        // Without a length Undertow would end the body of a last answer by closing, and a stream
        // that broke would look whole. Chunked, a missing last chunk shows.
        exchange.getResponseHeaders().put(Headers.TRANSFER_ENCODING, Headers.CHUNKED.toString());
        open();
    }

    private void head(int status, Map<String, String> headers) {
        exchange.setStatusCode(status);
        HeaderMap own = exchange.getResponseHeaders();
        headers.forEach(
                (name, value) -> {
                    if (!ConnectionHeaders.contains(name)) {
                        own.put(HttpString.tryFromString(name), value);
                    }
                });
        if (lastOnConnection.getAsBoolean()) {
            exchange.setPersistent(false);
        }
    }

    private void open() {
        channel = exchange.getResponseChannel();
        channel.getWriteSetter().set(writable -> flush());
    }

    /** Adds a part of the body. */
    void write(ByteBuffer bytes) {
        if (ended || !bytes.hasRemaining()) {
            return;
        }
        unwrittenBytes += bytes.remaining();
        unwritten.addLast(bytes);
        flush();
        if (!full && unwrittenBytes > HIGH_WATER_BYTES) {
            full = true;
            flow.onFull();
        }
    }

    /** Ends the body once all of it is written. */
    void end() {
        if (!ending) {
            ending = true;
            flush();
        }
    }

    /** Closes the connection, so that what was written does not look whole. */
    void cut() {
        ended = true;
        unwritten.clear();
        IoUtils.safeClose(exchange.getConnection());
    }

    boolean begun() {
        return channel != null;
    }

    private void flush() {
        if (ended) {
            return;
        }
        try {
            if (writeAll() && channel.flush()) {
                drained();
            } else {
                channel.resumeWrites();
            }
        } catch (IOException broken) {
            // The caller is gone; the request is cancelled, there is nobody to tell.
            cut();
            flow.onBroken();
        }
    }

    private boolean writeAll() throws IOException {
        while (!unwritten.isEmpty()) {
            ByteBuffer next = unwritten.peekFirst();
            int count = channel.write(next);
            unwrittenBytes -= count;
            if (next.hasRemaining()) {
                return false;
            }
            unwritten.removeFirst();
        }
        return true;
    }

    private void drained() {
        channel.suspendWrites();
        if (full) {
            full = false;
            flow.onDrained();
        }
        if (ending) {
            ended = true;
            exchange.endExchange();
        }
    }
}
