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

/** Writes one response to a caller from the traffic thread, without blocking. */
final class GatewayResponse {
    /** Reading from the target pauses while more than this is unwritten. */
    private static final int HIGH_WATER_BYTES = 64 * 1024;

    private final HttpServerExchange exchange;
    private final BooleanSupplier lastOnConnection;
    private final FlowListener flowListener;
    private final Deque<ByteBuffer> unwritten = new ArrayDeque<>();
    private StreamSinkChannel channel;
    private int unwrittenBytes;
    private boolean endRequested;
    private boolean ended;
    private boolean overHighWater;

    /** Receives the back-pressure of the caller's connection. */
    interface FlowListener {
        /** Called when the unwritten bytes exceed the high-water mark. */
        void onBackPressure();

        /** Called when all bytes have been written after back-pressure. */
        void onWritable();

        /** Called when the connection has failed. */
        void onCallerDisconnected();
    }

    private GatewayResponse(
            HttpServerExchange exchange,
            BooleanSupplier lastOnConnection,
            FlowListener flowListener) {
        this.exchange = exchange;
        this.lastOnConnection = lastOnConnection;
        this.flowListener = flowListener;
    }

    static GatewayResponse of(
            HttpServerExchange exchange,
            BooleanSupplier lastOnConnection,
            FlowListener flowListener) {
        return new GatewayResponse(exchange, lastOnConnection, flowListener);
    }

    /** Writes a complete response and ends it. */
    void sendWhole(int status, Map<String, String> headers, byte[] body) {
        setHead(status, headers);
        exchange.getResponseHeaders().put(Headers.CONTENT_LENGTH, body.length);
        openChannel();
        write(ByteBuffer.wrap(body));
        end();
    }

    /** Starts a response whose body follows in parts. */
    void begin(int status, Map<String, String> headers) {
        setHead(status, headers);
        // Without a length, Undertow would end the body of the last response on a connection by
        // closing it, and a broken stream would look complete. In a chunked body the missing last
        // chunk shows.
        exchange.getResponseHeaders().put(Headers.TRANSFER_ENCODING, Headers.CHUNKED.toString());
        openChannel();
    }

    private void setHead(int status, Map<String, String> headers) {
        exchange.setStatusCode(status);
        HeaderMap responseHeaders = exchange.getResponseHeaders();
        headers.forEach(
                (name, value) -> {
                    if (!ConnectionHeaders.contains(name)) {
                        responseHeaders.put(HttpString.tryFromString(name), value);
                    }
                });
        if (lastOnConnection.getAsBoolean()) {
            exchange.setPersistent(false);
        }
    }

    private void openChannel() {
        channel = exchange.getResponseChannel();
        channel.getWriteSetter().set(writable -> flush());
    }

    /** Appends a part of the body. */
    void write(ByteBuffer bytes) {
        if (ended || !bytes.hasRemaining()) {
            return;
        }
        unwrittenBytes += bytes.remaining();
        unwritten.addLast(bytes);
        flush();
        if (!overHighWater && unwrittenBytes > HIGH_WATER_BYTES) {
            overHighWater = true;
            flowListener.onBackPressure();
        }
    }

    /** Ends the body once all of it has been written. */
    void end() {
        if (!endRequested) {
            endRequested = true;
            flush();
        }
    }

    /** Closes the connection, so that the partial response does not look complete. */
    void abort() {
        ended = true;
        unwritten.clear();
        IoUtils.safeClose(exchange.getConnection());
    }

    boolean hasBegun() {
        return channel != null;
    }

    private void flush() {
        if (ended) {
            return;
        }
        try {
            if (writeAll() && channel.flush()) {
                onAllWritten();
            } else {
                channel.resumeWrites();
            }
        } catch (IOException broken) {
            // The caller has disconnected; its request is cancelled and no response can be sent.
            abort();
            flowListener.onCallerDisconnected();
        }
    }

    private boolean writeAll() throws IOException {
        while (!unwritten.isEmpty()) {
            ByteBuffer next = unwritten.peekFirst();
            int writtenBytes = channel.write(next);
            unwrittenBytes -= writtenBytes;
            if (next.hasRemaining()) {
                return false;
            }
            unwritten.removeFirst();
        }
        return true;
    }

    private void onAllWritten() {
        channel.suspendWrites();
        if (overHighWater) {
            overHighWater = false;
            flowListener.onWritable();
        }
        if (endRequested) {
            ended = true;
            exchange.endExchange();
        }
    }
}
