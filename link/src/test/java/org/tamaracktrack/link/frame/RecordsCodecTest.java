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
    void shouldReadWhatItWrote(
            @ForAll String topic,
            @ForAll int partition,
            @ForAll long from,
            @ForAll @Size(max = 5) List<byte[]> records,
            @ForAll long end,
            @ForAll long wholeAtMillis,
            @ForAll long era) {
        Message.Records read =
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

        assertThat(read.topic()).isEqualTo(topic);
        assertThat(read.partition()).isEqualTo(partition);
        assertThat(read.from()).isEqualTo(from);
        assertThat(read.end()).isEqualTo(end);
        assertThat(read.wholeAtMillis()).isEqualTo(wholeAtMillis);
        assertThat(read.era()).isEqualTo(era);
        assertThat(read.records()).hasSize(records.size());
        for (int index = 0; index < records.size(); index++) {
            assertThat(read.records().get(index)).isEqualTo(records.get(index));
        }
    }

    @Property(tries = 200)
    void shouldReadTheClockThatItWrote(@ForAll long millis) {
        assertThat(codec.decode(codec.encode(new Message.ClockReading(millis))))
                .isEqualTo(new Message.ClockReading(millis));
    }

    @Property(tries = 500)
    void shouldRefuseBytesThatAreNoRecords(@ForAll @Size(max = 40) byte[] bytes) {
        try {
            codec.decode(bytes);
        } catch (TamaracktrackException refused) {
            assertThat(refused.code()).isEqualTo(ErrorCode.BAD_FRAME);
        }
    }

    @Test
    void shouldRefuseAMessageThatIsCutOff() {
        byte[] whole = codec.encode(new Message.Records("t", 0, 1, List.of(new byte[9]), 2, 3, 4));

        for (int length = 0; length < whole.length; length++) {
            byte[] part = Arrays.copyOf(whole, length);
            TamaracktrackException refused =
                    assertThrows(TamaracktrackException.class, () -> codec.decode(part));
            assertThat(refused.code()).isEqualTo(ErrorCode.BAD_FRAME);
        }
    }

    // A frame of some bytes says that a record of two gigabytes follows. Believed, it would take
    // all memory.
    @Test
    void shouldRefuseALengthThatTheFrameDoesNotHave() throws Exception {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            packer.packString("t").packInt(0).packLong(1).packLong(2).packArrayHeader(1);
            packer.packBinaryHeader(Integer.MAX_VALUE);

            assertThrows(TamaracktrackException.class, () -> codec.decode(packer.toByteArray()));
        }
    }
}
