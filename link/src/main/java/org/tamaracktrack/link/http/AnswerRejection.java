package org.tamaracktrack.link.http;

import com.fasterxml.jackson.annotation.JsonValue;
import java.net.InetSocketAddress;
import java.util.Objects;

/**
 * States why an answer was rejected and its connection was reset.
 *
 * @param address the IP address and port of the server
 * @param reason the reason
 * @param bytes the number of bytes that were read in the part of the answer that was rejected
 */
public record AnswerRejection(InetSocketAddress address, Reason reason, long bytes) {

    /** The reason for which an answer was rejected. */
    public enum Reason {
        /** The head has too many bytes. */
        HEAD_BYTES("head_bytes"),
        /** The head has too many lines. */
        HEAD_LINES("head_lines"),
        /** The head was not complete in time after its first byte. */
        HEAD_TIME("head_time"),
        /** There were too many interim answers before the final one. */
        INTERIM_ANSWERS("interim_answers"),
        /** The bytes are not an HTTP/1 answer, or its length can't be determined. */
        MALFORMED("malformed"),
        /** A status line stands inside the head, so it is not the head of a single answer. */
        JOINED_HEADS("joined_heads"),
        /** Bytes were received while no answer was expected. */
        SURPLUS_BYTES("surplus_bytes"),
        /** The line with the size of a chunk has too many bytes. */
        CHUNK_LINE("chunk_line"),
        /** The trailer has too many bytes. */
        TRAILER_BYTES("trailer_bytes"),
        /** The body is larger than its receiver accepts. */
        BODY_BYTES("body_bytes"),
        /** The answers that are buffered in the process have too many bytes together. */
        BUFFERED_BYTES("buffered_bytes");

        private final String text;

        Reason(String text) {
            this.text = text;
        }

        /**
         * Returns the name for logs and metrics.
         *
         * @return the name
         */
        @JsonValue
        public String text() {
            return text;
        }
    }

    /** Checks the arguments. */
    public AnswerRejection {
        Objects.requireNonNull(address, "address is null");
        Objects.requireNonNull(reason, "reason is null");
    }
}
