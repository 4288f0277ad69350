package org.tamaracktrack.link.frame;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.tamaracktrack.core.error.ErrorCode;
import org.tamaracktrack.core.error.TamaracktrackException;

/**
 * Splits a stream of bytes into frames. A frame consists of a length of four bytes and the body.
 */
final class FrameDecoder {
    static final int HEADER_BYTES = 4;
    private static final int INITIAL_BYTES = 4096;

    private ByteBuffer pending = ByteBuffer.allocate(INITIAL_BYTES);
    private int maximumBytes;

    private FrameDecoder(int maximumBytes) {
        this.maximumBytes = maximumBytes;
    }

    static FrameDecoder of(int maximumBytes) {
        return new FrameDecoder(maximumBytes);
    }

    void setMaximumBytes(int bytes) {
        maximumBytes = bytes;
    }

    /** Consumes bytes and returns the frames that they complete, in order. */
    List<byte[]> decode(ByteBuffer input) {
        List<byte[]> frames = new ArrayList<>();
        decode(input, frames::add);
        return frames;
    }

    // Each frame is passed on before the length of the next is checked. The first message often
    // arrives in the same read as the proof before it and exceeds the limit that applies until the
    // proof has been verified.
    void decode(ByteBuffer input, Consumer<byte[]> receiver) {
        append(input);
        pending.flip();
        while (hasCompleteFrame()) {
            byte[] frame = new byte[pending.getInt()];
            pending.get(frame);
            receiver.accept(frame);
        }
        pending.compact();
        shrinkWhenEmpty();
    }

    private boolean hasCompleteFrame() {
        if (pending.remaining() < HEADER_BYTES) {
            return false;
        }
        int length = pending.getInt(pending.position());
        // The length comes from the network. Without this check, a single invalid frame could make
        // this process allocate all its memory.
        if (length < 0 || length > maximumBytes) {
            throw TamaracktrackException.of(
                    ErrorCode.FRAME_TOO_LARGE, "frame too large: " + length + " bytes");
        }
        return pending.remaining() >= HEADER_BYTES + length;
    }

    private void append(ByteBuffer input) {
        if (pending.remaining() < input.remaining()) {
            int needed = pending.position() + input.remaining();
            ByteBuffer larger = ByteBuffer.allocate(Math.max(needed, pending.capacity() * 2));
            pending.flip();
            larger.put(pending);
            pending = larger;
        }
        pending.put(input);
    }

    private void shrinkWhenEmpty() {
        if (pending.position() == 0 && pending.capacity() > 16 * INITIAL_BYTES) {
            pending = ByteBuffer.allocate(INITIAL_BYTES);
        }
    }

    static ByteBuffer encode(byte[] body) {
        ByteBuffer frame = ByteBuffer.allocate(HEADER_BYTES + body.length);
        frame.putInt(body.length).put(body).flip();
        return frame;
    }
}
