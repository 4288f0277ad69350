package org.tamaracktrack.core.exchange;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.tamaracktrack.core.id.AttemptId;
import org.tamaracktrack.core.message.Message;

/** The part of the answer of one attempt that has been received so far. */
final class AttemptAnswer {
    private static final String CONTENT_LENGTH = "content-length";

    private final AttemptId attempt;
    private final ExchangeParameters parameters;
    private final List<byte[]> buffer = new ArrayList<>();
    private int bufferedBytes;
    private Optional<Message.Started> head = Optional.empty();
    private int chunkCount;
    private long receivedBytes;
    private long unreadBytes;

    private AttemptAnswer(AttemptId attempt, ExchangeParameters parameters) {
        this.attempt = attempt;
        this.parameters = parameters;
    }

    static AttemptAnswer of(AttemptId attempt, ExchangeParameters parameters) {
        return new AttemptAnswer(attempt, parameters);
    }

    boolean hasStarted() {
        return head.isPresent();
    }

    int status() {
        return head.orElseThrow().status();
    }

    Map<String, String> headers() {
        return head.orElseThrow().headers();
    }

    /** Records the head of the answer; returns a description of the error if it is invalid. */
    Optional<String> onStarted(Message.Started started) {
        if (head.isPresent()) {
            return Optional.of("answer head received twice for attempt " + attempt);
        }
        head = Optional.of(started);
        return Optional.empty();
    }

    /** Records a chunk of the answer; returns a description of the error if it is invalid. */
    Optional<String> onChunk(Message.Chunk chunk) {
        if (head.isEmpty()) {
            return Optional.of("chunk received before the answer head of attempt " + attempt);
        }
        if (chunk.sequence() != chunkCount) {
            return Optional.of(
                    "received chunk " + chunk.sequence() + ", expected chunk " + chunkCount);
        }
        chunkCount++;
        receivedBytes += chunk.bytes().length;
        unreadBytes += chunk.bytes().length;
        // Credit limits how far a target sends ahead of a slow caller. A target that ignores it
        // would fill the memory of this daemon at the expense of all other callers.
        if (unreadBytes > (long) parameters.creditBytes() + parameters.bufferBytes()) {
            return Optional.of("target exceeded its credit: unread bytes " + unreadBytes);
        }
        buffer.add(chunk.bytes());
        bufferedBytes += chunk.bytes().length;
        return Optional.empty();
    }

    /** Checks the answer at its end; returns a description of the error if it is incomplete. */
    Optional<String> onFinished(Message.Finished finished) {
        if (head.isEmpty()) {
            return Optional.of("end received before the answer head of attempt " + attempt);
        }
        if (finished.chunks() != chunkCount) {
            return Optional.of(chunkCount + " chunks received, expected " + finished.chunks());
        }
        return Optional.ofNullable(headers().get(CONTENT_LENGTH))
                .filter(length -> !length.equals(Long.toString(receivedBytes)))
                .map(length -> receivedBytes + " bytes received, content-length " + length);
    }

    boolean shouldForward() {
        return parameters.streamed() || bufferedBytes > parameters.bufferBytes();
    }

    byte[] drainBuffer() {
        ByteBuffer joined = ByteBuffer.allocate(bufferedBytes);
        buffer.forEach(joined::put);
        clearBuffer();
        return joined.array();
    }

    void discardBuffer() {
        unreadBytes -= bufferedBytes;
        clearBuffer();
    }

    private void clearBuffer() {
        buffer.clear();
        bufferedBytes = 0;
    }

    void callerRead(int bytes) {
        unreadBytes -= bytes;
    }
}
