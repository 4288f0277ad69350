package org.tamaracktrack.standins.http;

import io.undertow.server.HttpServerExchange;
import java.io.FilterOutputStream;
import java.io.IOException;
import java.io.OutputStream;

/** Truncates responses, as a process that crashes while it responds does. */
public final class ResponseTruncator {
    private int remainingResponses;
    private int afterBytes;

    /** Creates an instance that truncates no responses. */
    public ResponseTruncator() {}

    /**
     * Truncates the next responses.
     *
     * @param cut the length to truncate to, and the number of responses
     */
    public synchronized void truncateNext(Control.Cut cut) {
        remainingResponses = cut.count();
        afterBytes = cut.afterBytes();
    }

    /**
     * Returns the stream for the body of a response.
     *
     * @param exchange the exchange
     * @return the stream; if the response is to be truncated, it closes the connection after the
     *     set number of bytes
     */
    public synchronized OutputStream output(HttpServerExchange exchange) {
        if (remainingResponses <= 0) {
            return exchange.getOutputStream();
        }
        remainingResponses--;
        return new TruncatedOutput(exchange, afterBytes);
    }

    private static final class TruncatedOutput extends FilterOutputStream {
        private final HttpServerExchange exchange;
        private int remainingBytes;

        TruncatedOutput(HttpServerExchange exchange, int afterBytes) {
            super(exchange.getOutputStream());
            this.exchange = exchange;
            this.remainingBytes = afterBytes;
        }

        @Override
        public void write(int value) throws IOException {
            write(new byte[] {(byte) value}, 0, 1);
        }

        @Override
        public void write(byte[] bytes, int offset, int length) throws IOException {
            int sentBytes = Math.min(length, remainingBytes);
            out.write(bytes, offset, sentBytes);
            remainingBytes -= sentBytes;
            if (remainingBytes == 0) {
                out.flush();
                HttpExchanges.closeConnection(exchange);
                throw new IOException("response truncated");
            }
        }
    }
}
