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
    void shouldGiveTheSameFramesWhenTheBytesArriveInAnyPieces(
            @ForAll @Size(max = 8) List<@Size(max = 300) byte[]> frames,
            @ForAll @IntRange(min = 1, max = 97) int piece) {
        FrameDecoder decoder = FrameDecoder.of(LIMIT);
        ByteBuffer wire = ByteBuffer.allocate(8 * 310);
        frames.forEach(frame -> wire.put(FrameDecoder.encode(frame)));
        wire.flip();

        List<byte[]> decoded = new ArrayList<>();
        while (wire.hasRemaining()) {
            int length = Math.min(piece, wire.remaining());
            decoded.addAll(decoder.decode(wire.slice(wire.position(), length)));
            wire.position(wire.position() + length);
        }

        assertThat(decoded.size()).isEqualTo(frames.size());
        for (int index = 0; index < frames.size(); index++) {
            assertThat(decoded.get(index)).isEqualTo(frames.get(index));
        }
    }

    @Test
    void shouldRefuseBeforeAllocatingWhenTheLengthIsOverTheLimit() {
        FrameDecoder decoder = FrameDecoder.of(64);
        ByteBuffer header = ByteBuffer.allocate(4).putInt(Integer.MAX_VALUE).flip();

        TamaracktrackException failure =
                assertThrows(TamaracktrackException.class, () -> decoder.decode(header));

        assertThat(failure.code()).isEqualTo(ErrorCode.FRAME_TOO_LARGE);
    }

    // What the caller sees: no connection opens. The proof (at most 64 bytes) and the first message
    // (larger) arrive in one read; the limit is raised only when the proof has been taken, so the
    // message must not be looked at before that.
    @Test
    void shouldTakeALargerFrameWhenTheFrameBeforeItRaisesTheLimit() {
        FrameDecoder decoder = FrameDecoder.of(64);
        ByteBuffer wire = ByteBuffer.allocate(400);
        wire.put(FrameDecoder.encode(new byte[32])).put(FrameDecoder.encode(new byte[300])).flip();
        List<Integer> lengths = new ArrayList<>();

        decoder.decode(
                wire,
                frame -> {
                    decoder.allow(LIMIT);
                    lengths.add(frame.length);
                });

        assertThat(lengths).containsExactly(32, 300).inOrder();
    }
}
