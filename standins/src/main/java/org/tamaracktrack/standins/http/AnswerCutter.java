package org.tamaracktrack.standins.http;

import io.undertow.server.HttpServerExchange;
import java.io.FilterOutputStream;
import java.io.IOException;
import java.io.OutputStream;

/** Cuts answers in their middle, as a dying process would. */
public final class AnswerCutter {
    private int left;
    private int afterBytes;

    /** Makes a cutter that cuts nothing. */
    public AnswerCutter() {}

    /**
     * Cuts the next answers.
     *
     * @param cut where, and how many
     */
    public synchronized void set(Control.Cut cut) {
        left = cut.count();
        afterBytes = cut.afterBytes();
    }

    /**
     * Returns where to write the body of an answer.
     *
     * @param exchange the call
     * @return its output, which closes the connection in the middle if this answer is to be cut
     */
    public synchronized OutputStream output(HttpServerExchange exchange) {
        if (left <= 0) {
            return exchange.getOutputStream();
        }
        left--;
        return new CutOutput(exchange, afterBytes);
    }

    private static final class CutOutput extends FilterOutputStream {
        private final HttpServerExchange exchange;
        private int left;

        CutOutput(HttpServerExchange exchange, int afterBytes) {
            super(exchange.getOutputStream());
            this.exchange = exchange;
            this.left = afterBytes;
        }

        @Override
        public void write(int value) throws IOException {
            write(new byte[] {(byte) value}, 0, 1);
        }

        @Override
        public void write(byte[] bytes, int offset, int length) throws IOException {
            int sent = Math.min(length, left);
            out.write(bytes, offset, sent);
            left -= sent;
            if (left == 0) {
                out.flush();
                Answers.drop(exchange);
                throw new IOException("cut");
            }
        }
    }
}
