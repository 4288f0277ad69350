package org.tamaracktrack.link.frame;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.tamaracktrack.core.error.ErrorCode;
import org.tamaracktrack.core.error.TamaracktrackException;

/** Cuts a stream of bytes into frames: four bytes of length, then the body. */
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

    void allow(int bytes) {
        maximumBytes = bytes;
    }

    /** Takes bytes in; the frames that are now whole come out in order. */
    List<byte[]> decode(ByteBuffer input) {
        List<byte[]> frames = new ArrayList<>();
        decode(input, frames::add);
        return frames;
    }

    // Each frame is handed over before the next is looked at: the first message often arrives in
    // one piece with the proof before it, and is over the limit that holds until that proof.
    void decode(ByteBuffer input, Consumer<byte[]> receiver) {
        append(input);
        pending.flip();
        while (hasWholeFrame()) {
            byte[] frame = new byte[pending.getInt()];
            pending.get(frame);
            receiver.accept(frame);
        }
        pending.compact();
        shrinkWhenEmpty();
    }

    private boolean hasWholeFrame() {
        if (pending.remaining() < HEADER_BYTES) {
            return false;
        }
        int length = pending.getInt(pending.position());
        // The length comes from the network; taken on trust, one bad frame would make this process
        // allocate all its memory. Refused before anything is allocated for it.
        if (length < 0 || length > maximumBytes) {
            throw TamaracktrackException.of(
                    ErrorCode.FRAME_TOO_LARGE, "a frame of " + length + " bytes");
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
