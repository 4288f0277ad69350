package org.tamaracktrack.link.frame;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import org.tamaracktrack.core.error.ErrorCode;
import org.tamaracktrack.core.error.TamaracktrackException;

class FrameDecoderTest {
    private static final int LIMIT = 1 << 20;

    @Property(seed = "71")
    void shouldDecodeTheSameFramesWhenTheBytesArriveInPiecesOfAnySize(
            @ForAll @Size(max = 8) List<@Size(max = 300) byte[]> frames,
            @ForAll @IntRange(min = 1, max = 97) int pieceBytes) {
        FrameDecoder decoder = FrameDecoder.of(LIMIT);
        ByteBuffer wire = ByteBuffer.allocate(8 * 310);
        frames.forEach(frame -> wire.put(FrameDecoder.encode(frame)));
        wire.flip();

        List<byte[]> decoded = new ArrayList<>();
        while (wire.hasRemaining()) {
            int length = Math.min(pieceBytes, wire.remaining());
            decoded.addAll(decoder.decode(wire.slice(wire.position(), length)));
            wire.position(wire.position() + length);
        }

        assertThat(decoded.size()).isEqualTo(frames.size());
        for (int index = 0; index < frames.size(); index++) {
            assertThat(decoded.get(index)).isEqualTo(frames.get(index));
        }
    }

    @Test
    void shouldRejectAFrameBeforeAllocatingWhenItsLengthExceedsTheLimit() {
        FrameDecoder decoder = FrameDecoder.of(64);
        ByteBuffer header = ByteBuffer.allocate(4).putInt(Integer.MAX_VALUE).flip();

        TamaracktrackException failure =
                assertThrows(TamaracktrackException.class, () -> decoder.decode(header));

        assertThat(failure.code()).isEqualTo(ErrorCode.FRAME_TOO_LARGE);
    }

    // Guards against connections that fail to open. The proof (at most 64 bytes) and the first
    // message (larger) may arrive in one read. The limit is raised only once the proof has been
    // processed, so the length of the message must not be checked before that.
    @Test
    void shouldDecodeALargerFrameWhenThePreviousFrameRaisedTheLimit() {
        FrameDecoder decoder = FrameDecoder.of(64);
        ByteBuffer wire = ByteBuffer.allocate(400);
        wire.put(FrameDecoder.encode(new byte[32])).put(FrameDecoder.encode(new byte[300])).flip();
        List<Integer> lengths = new ArrayList<>();

        decoder.decode(
                wire,
                frame -> {
                    decoder.setMaximumBytes(LIMIT);
                    lengths.add(frame.length);
                });

        assertThat(lengths).containsExactly(32, 300).inOrder();
    }
}
