package org.tamaracktrack.link.http;

import java.nio.ByteBuffer;
import java.util.Optional;
import org.tamaracktrack.link.http.AnswerRejection.Reason;

/**
 * Follows the framing of the answers on a connection, and checks the grammar and the bounds of what
 * lies around their bodies. An answer whose length can be read in two ways, or that breaks the
 * grammar of HTTP/1.1, is rejected, so Undertow's client can only agree with this check. Bytes of
 * bodies are skipped without being looked at. Used by a single thread.
 */
final class AnswerFraming {
    private static final String PROTOCOL = "HTTP/1.";
    private static final String CONTENT_LENGTH = "content-length";
    private static final String TRANSFER_ENCODING = "transfer-encoding";
    private static final int MINOR_VERSION_OFFSET = 7;
    private static final int STATUS_OFFSET = 9;
    private static final int STATUS_END = 12;
    private static final int MAX_LENGTH_DIGITS = 18;
    private static final int MAX_CHUNK_DIGITS = 15;
    private static final int HEX = 16;
    private static final int CONTINUE = 100;
    private static final int SWITCHING_PROTOCOLS = 101;
    private static final int FIRST_FINAL_STATUS = 200;
    private static final int LAST_STATUS = 599;
    private static final int NO_CONTENT = 204;
    private static final int NOT_MODIFIED = 304;

    private final AnswerBounds bounds;
    private final FieldLine field = FieldLine.empty();
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
    private ChunkLinePart chunkLinePart = ChunkLinePart.SIZE;

    private int status;
    private boolean interimStatus;
    private boolean oldVersion;
    private boolean chunked;
    private long length;

    private enum State {
        HEAD,
        FIXED,
        CHUNK_LINE,
        CHUNK_DATA,
        CHUNK_END,
        TRAILER,
        UNTIL_CLOSE
    }

    private enum ChunkLinePart {
        SIZE,
        BLANKS,
        EXTENSION
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
        startLine();
    }

    private void startLine() {
        lineBytes = 0;
        carriageReturn = false;
        field.clear();
    }

    private void endAnswer() {
        answerExpected = false;
        startHead();
    }

    private void startHead() {
        startPart(State.HEAD);
        statusLines.reset();
        status = 0;
        interimStatus = false;
        oldVersion = false;
        chunked = false;
        length = -1;
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

    /** Checks that a carriage return stands only before the end of a line. */
    private void checkLineEnd(byte value) throws AnswerRejectedException {
        require(!carriageReturn || value == '\n');
        carriageReturn = value == '\r';
    }

    private void checkHead(ByteBuffer buffer, int index) throws AnswerRejectedException {
        byte value = buffer.get(index);
        count(bounds.headBytes(), Reason.HEAD_BYTES);
        checkLineEnd(value);
        if (partBytes > 1 && statusLines.add(value)) {
            // The first bytes are the beginning of another answer, which the server left over.
            throw AnswerRejectedException.of(Reason.JOINED_HEADS);
        }
        if (value == '\n') {
            endHeadLine();
        } else if (value != '\r') {
            if (partLines == 0) {
                checkStatusLine(buffer, index, value);
            } else {
                require(field.add(value));
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
            if (interimStatus) {
                buffer.put(index, (byte) '0');
            }
            interimStatus |= lineBytes == STATUS_OFFSET && value == '1';
        } else if (lineBytes == STATUS_END) {
            require(value == ' ');
        } else {
            require(FieldLine.isText(value));
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
            require(lineBytes >= STATUS_END && status >= CONTINUE && status <= LAST_STATUS);
        } else {
            readField();
        }
        startLine();
    }

    private void readField() throws AnswerRejectedException {
        require(field.isComplete());
        if (field.isNamed(CONTENT_LENGTH)) {
            readLength(framingValue());
        } else if (field.isNamed(TRANSFER_ENCODING)) {
            require(!chunked && framingValue().equalsIgnoreCase("chunked"));
            chunked = true;
        }
    }

    private String framingValue() throws AnswerRejectedException {
        Optional<String> value = field.value();
        require(value.isPresent());
        return value.get();
    }

    private void readLength(String digits) throws AnswerRejectedException {
        require(digits.matches("[0-9]{1," + MAX_LENGTH_DIGITS + "}"));
        long stated = Long.parseLong(digits);
        require(length < 0 || length == stated);
        length = stated;
    }

    private void endHead() throws AnswerRejectedException {
        require(!chunked || length < 0 && !oldVersion);
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
        chunkLinePart = ChunkLinePart.SIZE;
    }

    private void checkChunkLine(byte value) throws AnswerRejectedException {
        count(bounds.chunkLineBytes(), Reason.CHUNK_LINE);
        checkLineEnd(value);
        if (value == '\n') {
            require(chunkDigits > 0);
            startPart(remaining == 0 ? State.TRAILER : State.CHUNK_DATA);
        } else if (value != '\r') {
            checkChunkLinePart(value);
        }
    }

    private void checkChunkLinePart(byte value) throws AnswerRejectedException {
        int digit = chunkLinePart == ChunkLinePart.SIZE ? Character.digit(value, HEX) : -1;
        if (digit >= 0) {
            chunkDigits++;
            require(chunkDigits <= MAX_CHUNK_DIGITS);
            remaining = remaining * HEX + digit;
        } else if (chunkLinePart == ChunkLinePart.EXTENSION) {
            require(FieldLine.isText(value));
        } else {
            boolean blank = value == ' ' || value == '\t';
            require(chunkDigits > 0 && (blank || value == ';'));
            chunkLinePart = blank ? ChunkLinePart.BLANKS : ChunkLinePart.EXTENSION;
        }
    }

    private void checkChunkEnd(byte value) throws AnswerRejectedException {
        require(value == '\r' || value == '\n');
        checkLineEnd(value);
        if (value == '\n') {
            startChunk();
        }
    }

    private void checkTrailer(byte value) throws AnswerRejectedException {
        count(bounds.trailerBytes(), Reason.TRAILER_BYTES);
        checkLineEnd(value);
        if (value == '\n') {
            endTrailerLine();
        } else if (value != '\r') {
            require(field.add(value));
        }
    }

    private void endTrailerLine() throws AnswerRejectedException {
        if (field.isEmpty()) {
            endAnswer();
            return;
        }
        require(
                field.isComplete()
                        && !field.isNamed(CONTENT_LENGTH)
                        && !field.isNamed(TRANSFER_ENCODING));
        startLine();
    }
}
