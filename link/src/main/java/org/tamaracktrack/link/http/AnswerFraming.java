package org.tamaracktrack.link.http;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.tamaracktrack.link.http.AnswerRejection.Reason;

/**
 * Follows the framing of the answers on a connection and checks the bounds of what lies around
 * their bodies. It determines the length of a body by the same rules as Undertow's client. Bytes of
 * bodies are skipped without being looked at. Used by a single thread.
 */
final class AnswerFraming {
    /** Longer than any valid line that states the length of a body. */
    private static final int KEPT_LINE_BYTES = 128;

    private static final String PROTOCOL = "HTTP/1.";
    private static final int MINOR_VERSION_OFFSET = 7;
    private static final int STATUS_OFFSET = 9;
    private static final int STATUS_END = 12;
    private static final int MAX_LENGTH_DIGITS = 18;
    private static final int MAX_CHUNK_DIGITS = 15;
    private static final int HEX = 16;
    private static final int CONTINUE = 100;
    private static final int SWITCHING_PROTOCOLS = 101;
    private static final int FIRST_FINAL_STATUS = 200;
    private static final int NO_CONTENT = 204;
    private static final int NOT_MODIFIED = 304;

    private final AnswerBounds bounds;
    private final byte[] line = new byte[KEPT_LINE_BYTES];
    private final StatusLineMatcher statusLines = StatusLineMatcher.of();
    private State state = State.HEAD;
    private boolean answerExpected;
    private boolean bodyless;
    private int partBytes;
    private int partLines;
    private int lineBytes;
    private boolean carriageReturn;
    private int interimAnswers;
    private long remaining;
    private int chunkDigits;
    private boolean chunkSizeRead;

    private int status;
    private boolean oldVersion;
    private boolean chunked;
    private long length;
    private boolean framingLine;

    private enum State {
        HEAD,
        FIXED,
        CHUNK_LINE,
        CHUNK_DATA,
        CHUNK_END,
        TRAILER,
        UNTIL_CLOSE
    }

    private AnswerFraming(AnswerBounds bounds) {
        this.bounds = bounds;
        startHead();
    }

    static AnswerFraming of(AnswerBounds bounds) {
        return new AnswerFraming(bounds);
    }

    /** Prepares for the answer to a request. */
    void begin(boolean answerWithoutBody) {
        answerExpected = true;
        bodyless = answerWithoutBody;
        interimAnswers = 0;
    }

    /** Returns whether a part of a head has been received, and not all of it. */
    boolean isInsideHead() {
        return state == State.HEAD && partBytes > 0;
    }

    /** Returns the bytes of the current head, chunk line or trailer that have been received. */
    int partBytes() {
        return partBytes;
    }

    /**
     * Checks bytes that were received, up to the end of the expected answer. The status of an
     * interim answer is replaced by 100, the only one that Undertow's client doesn't take for that
     * of the final answer.
     *
     * @param buffer the buffer
     * @param start the index of the first byte
     * @param end the index after the last byte
     * @return the index after the last byte that belongs to the expected answer
     * @throws AnswerRejectedException if the answer is to be rejected
     */
    int check(ByteBuffer buffer, int start, int end) throws AnswerRejectedException {
        int index = start;
        while (index < end && answerExpected) {
            switch (state) {
                case UNTIL_CLOSE -> index = end;
                case FIXED, CHUNK_DATA -> index += skip(end - index);
                case HEAD -> checkHead(buffer, index++);
                case CHUNK_LINE -> checkChunkLine(buffer.get(index++));
                case CHUNK_END -> checkChunkEnd(buffer.get(index++));
                default -> checkTrailer(buffer.get(index++));
            }
        }
        return index;
    }

    private int skip(int available) {
        int count = (int) Math.min(available, remaining);
        remaining -= count;
        if (remaining == 0) {
            if (state == State.FIXED) {
                endAnswer();
            } else {
                startPart(State.CHUNK_END);
            }
        }
        return count;
    }

    private void startPart(State next) {
        state = next;
        partBytes = 0;
        partLines = 0;
        lineBytes = 0;
    }

    private void endAnswer() {
        answerExpected = false;
        startHead();
    }

    private void startHead() {
        startPart(State.HEAD);
        statusLines.reset();
        carriageReturn = false;
        status = 0;
        oldVersion = false;
        chunked = false;
        length = -1;
        framingLine = false;
    }

    private void count(int maximum, Reason reason) throws AnswerRejectedException {
        partBytes++;
        if (partBytes > maximum) {
            throw AnswerRejectedException.of(reason);
        }
    }

    private static void require(boolean valid) throws AnswerRejectedException {
        if (!valid) {
            throw AnswerRejectedException.of(Reason.MALFORMED);
        }
    }

    private void checkHead(ByteBuffer buffer, int index) throws AnswerRejectedException {
        byte value = buffer.get(index);
        count(bounds.headBytes(), Reason.HEAD_BYTES);
        // Undertow's parser takes a single carriage return for the end of a line.
        require(!carriageReturn || value == '\n');
        carriageReturn = value == '\r';
        if (partBytes > 1 && statusLines.add(value)) {
            // The first bytes are the beginning of another answer, which the server left over.
            throw AnswerRejectedException.of(Reason.JOINED_HEADS);
        }
        if (value == '\n') {
            endHeadLine();
        } else if (value != '\r') {
            if (partLines == 0) {
                checkStatusLine(buffer, index, value);
            }
            if (lineBytes < KEPT_LINE_BYTES) {
                line[lineBytes] = value;
            }
            lineBytes++;
        }
    }

    private void checkStatusLine(ByteBuffer buffer, int index, byte value)
            throws AnswerRejectedException {
        if (lineBytes < PROTOCOL.length()) {
            require(value == PROTOCOL.charAt(lineBytes));
        } else if (lineBytes == MINOR_VERSION_OFFSET) {
            require(isDigit(value));
            oldVersion = value == '0';
        } else if (lineBytes < STATUS_OFFSET) {
            require(value == ' ');
        } else if (lineBytes < STATUS_END) {
            require(isDigit(value));
            status = status * 10 + value - '0';
            boolean interim = line[STATUS_OFFSET] == '1' && lineBytes > STATUS_OFFSET;
            if (interim) {
                buffer.put(index, (byte) '0');
            }
        } else if (lineBytes == STATUS_END) {
            require(value == ' ');
        }
    }

    private static boolean isDigit(byte value) {
        return value >= '0' && value <= '9';
    }

    private void endHeadLine() throws AnswerRejectedException {
        if (lineBytes == 0) {
            require(partLines > 0);
            endHead();
            return;
        }
        partLines++;
        if (partLines > bounds.headLines()) {
            throw AnswerRejectedException.of(Reason.HEAD_LINES);
        }
        if (partLines == 1) {
            require(lineBytes >= STATUS_END && status >= CONTINUE);
        } else {
            readHeader();
        }
        lineBytes = 0;
    }

    private void readHeader() throws AnswerRejectedException {
        if (line[0] == ' ' || line[0] == '\t') {
            // The line continues the one before.
            require(!framingLine);
            return;
        }
        Optional<String> value = framingValue("content-length");
        if (value.isPresent() && length < 0) {
            String digits = value.get();
            require(digits.matches("[0-9]{1," + MAX_LENGTH_DIGITS + "}"));
            length = Long.parseLong(digits);
        }
        Optional<String> encoding = framingValue("transfer-encoding");
        if (encoding.isPresent()) {
            chunked = encoding.get().equalsIgnoreCase("chunked");
        }
        framingLine = value.isPresent() || encoding.isPresent();
    }

    private Optional<String> framingValue(String name) throws AnswerRejectedException {
        if (lineBytes < name.length()) {
            return Optional.empty();
        }
        for (int offset = 0; offset < name.length(); offset++) {
            if ((line[offset] | 0x20) != name.charAt(offset)) {
                return Optional.empty();
            }
        }
        int kept = Math.min(lineBytes, KEPT_LINE_BYTES);
        String rest =
                new String(line, name.length(), kept - name.length(), StandardCharsets.ISO_8859_1);
        if (!rest.stripLeading().startsWith(":")) {
            return Optional.empty();
        }
        require(rest.startsWith(":") && lineBytes <= KEPT_LINE_BYTES);
        return Optional.of(rest.substring(1).strip());
    }

    private void endHead() throws AnswerRejectedException {
        if (status < FIRST_FINAL_STATUS) {
            // No request asks for another protocol.
            require(status != SWITCHING_PROTOCOLS);
            interimAnswers++;
            if (interimAnswers > bounds.interimAnswers()) {
                throw AnswerRejectedException.of(Reason.INTERIM_ANSWERS);
            }
            startHead();
            return;
        }
        boolean empty = !oldVersion && (status == NO_CONTENT || status == NOT_MODIFIED);
        if (bodyless) {
            endAnswer();
        } else if (chunked) {
            startChunk();
        } else if (length >= 0) {
            startFixed();
        } else if (empty) {
            endAnswer();
        } else {
            startPart(State.UNTIL_CLOSE);
        }
    }

    private void startFixed() {
        remaining = length;
        if (remaining == 0) {
            endAnswer();
        } else {
            startPart(State.FIXED);
        }
    }

    private void startChunk() {
        startPart(State.CHUNK_LINE);
        remaining = 0;
        chunkDigits = 0;
        chunkSizeRead = false;
    }

    private void checkChunkLine(byte value) throws AnswerRejectedException {
        count(bounds.chunkLineBytes(), Reason.CHUNK_LINE);
        if (value == '\n') {
            require(chunkDigits > 0);
            startPart(remaining == 0 ? State.TRAILER : State.CHUNK_DATA);
            return;
        }
        int digit = chunkSizeRead ? -1 : Character.digit(value, HEX);
        if (digit < 0) {
            chunkSizeRead = true;
        } else {
            chunkDigits++;
            require(chunkDigits <= MAX_CHUNK_DIGITS);
            remaining = remaining * HEX + digit;
        }
    }

    private void checkChunkEnd(byte value) throws AnswerRejectedException {
        require(value == '\r' || value == '\n');
        count(2, Reason.MALFORMED);
        if (value == '\n') {
            startChunk();
        }
    }

    private void checkTrailer(byte value) throws AnswerRejectedException {
        count(bounds.trailerBytes(), Reason.TRAILER_BYTES);
        if (value != '\n') {
            lineBytes += value == '\r' ? 0 : 1;
        } else if (lineBytes == 0) {
            endAnswer();
        } else {
            lineBytes = 0;
        }
    }
}
