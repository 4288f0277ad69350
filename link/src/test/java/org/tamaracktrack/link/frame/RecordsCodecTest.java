package org.tamaracktrack.link.frame;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.Arrays;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.tamaracktrack.core.error.ErrorCode;
import org.tamaracktrack.core.error.TamaracktrackException;
import org.tamaracktrack.core.message.Message;

class RecordsCodecTest {
    private final RecordsCodec codec = new RecordsCodec();

    @Property(tries = 200)
    void shouldDecodeTheRecordsThatWereEncoded(
            @ForAll String topic,
            @ForAll int partition,
            @ForAll long from,
            @ForAll @Size(max = 5) List<byte[]> records,
            @ForAll long end,
            @ForAll long wholeAtMillis,
            @ForAll long era) {
        Message.Records decoded =
                (Message.Records)
                        codec.decode(
                                codec.encode(
                                        new Message.Records(
                                                topic,
                                                partition,
                                                from,
                                                records,
                                                end,
                                                wholeAtMillis,
                                                era)));

        assertThat(decoded.topic()).isEqualTo(topic);
        assertThat(decoded.partition()).isEqualTo(partition);
        assertThat(decoded.from()).isEqualTo(from);
        assertThat(decoded.end()).isEqualTo(end);
        assertThat(decoded.wholeAtMillis()).isEqualTo(wholeAtMillis);
        assertThat(decoded.era()).isEqualTo(era);
        assertThat(decoded.records()).hasSize(records.size());
        for (int index = 0; index < records.size(); index++) {
            assertThat(decoded.records().get(index)).isEqualTo(records.get(index));
        }
    }

    @Property(tries = 200)
    void shouldDecodeTheClockReadingThatWasEncoded(@ForAll long millis) {
        assertThat(codec.decode(codec.encode(new Message.ClockReading(millis))))
                .isEqualTo(new Message.ClockReading(millis));
    }

    @Property(tries = 500)
    void shouldFailOnlyWithBadFrameWhenArbitraryBytesAreDecoded(
            @ForAll @Size(max = 40) byte[] bytes) {
        try {
            codec.decode(bytes);
        } catch (TamaracktrackException failure) {
            assertThat(failure.code()).isEqualTo(ErrorCode.BAD_FRAME);
        }
    }

    @Test
    void shouldRejectATruncatedMessage() {
        byte[] complete =
                codec.encode(new Message.Records("t", 0, 1, List.of(new byte[9]), 2, 3, 4));

        for (int length = 0; length < complete.length; length++) {
            byte[] truncated = Arrays.copyOf(complete, length);
            TamaracktrackException failure =
                    assertThrows(TamaracktrackException.class, () -> codec.decode(truncated));
            assertThat(failure.code()).isEqualTo(ErrorCode.BAD_FRAME);
        }
    }

    // A frame of a few bytes states that a record of two gigabytes follows. Allocating that length
    // unchecked would exhaust the memory.
    @Test
    void shouldRejectALengthThatExceedsTheFrame() throws Exception {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            packer.packString("t").packInt(0).packLong(1).packLong(2).packArrayHeader(1);
            packer.packBinaryHeader(Integer.MAX_VALUE);

            assertThrows(TamaracktrackException.class, () -> codec.decode(packer.toByteArray()));
        }
    }
}
