package org.tamaracktrack.core.exchange;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.tamaracktrack.core.id.AttemptId;
import org.tamaracktrack.core.message.Message;

/** The answer of one attempt as far as it has arrived. */
final class AttemptAnswer {
    private static final String CONTENT_LENGTH = "content-length";

    private final AttemptId attempt;
    private final ExchangeFacts facts;
    private final List<byte[]> buffer = new ArrayList<>();
    private int bufferedBytes;
    private Optional<Message.Started> head = Optional.empty();
    private int chunks;
    private long receivedBytes;
    private long unreadBytes;

    private AttemptAnswer(AttemptId attempt, ExchangeFacts facts) {
        this.attempt = attempt;
        this.facts = facts;
    }

    static AttemptAnswer of(AttemptId attempt, ExchangeFacts facts) {
        return new AttemptAnswer(attempt, facts);
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

    /** Returns what is wrong with the head, if anything is. */
    Optional<String> started(Message.Started started) {
        if (head.isPresent()) {
            return Optional.of("started twice: " + attempt);
        }
        head = Optional.of(started);
        return Optional.empty();
    }

    /** Returns what is wrong with the chunk, if anything is. */
    Optional<String> chunk(Message.Chunk chunk) {
        if (head.isEmpty()) {
            return Optional.of("a chunk before the head: " + attempt);
        }
        if (chunk.sequence() != chunks) {
            return Optional.of("chunk " + chunk.sequence() + " instead of " + chunks);
        }
        chunks++;
        receivedBytes += chunk.bytes().length;
        unreadBytes += chunk.bytes().length;
        // Credit bounds what a target sends ahead of a slow caller. A target that ignores it would
        // fill this daemon's memory at the cost of every other caller.
        if (unreadBytes > (long) facts.creditBytes() + facts.bufferBytes()) {
            return Optional.of("more bytes than credit: " + unreadBytes);
        }
        buffer.add(chunk.bytes());
        bufferedBytes += chunk.bytes().length;
        return Optional.empty();
    }

    /** Returns what is missing at the end of the answer, if anything is. */
    Optional<String> finished(Message.Finished finished) {
        if (head.isEmpty()) {
            return Optional.of("finished before the head: " + attempt);
        }
        if (finished.chunks() != chunks) {
            return Optional.of(chunks + " chunks of " + finished.chunks());
        }
        return Optional.ofNullable(headers().get(CONTENT_LENGTH))
                .filter(length -> !length.equals(Long.toString(receivedBytes)))
                .map(length -> receivedBytes + " bytes of " + length);
    }

    boolean passOn() {
        return facts.streamed() || bufferedBytes > facts.bufferBytes();
    }

    byte[] takeBuffer() {
        ByteBuffer joined = ByteBuffer.allocate(bufferedBytes);
        buffer.forEach(joined::put);
        clearBuffer();
        return joined.array();
    }

    void discard() {
        unreadBytes -= bufferedBytes;
        clearBuffer();
    }

    private void clearBuffer() {
        buffer.clear();
        bufferedBytes = 0;
    }

    void read(int bytes) {
        unreadBytes -= bytes;
    }
}
