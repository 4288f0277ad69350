package org.tamaracktrack.core.stream;

import static com.google.common.truth.Truth.assertThat;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Random;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

class EventSplitterTest {
    private final EventSplitter splitter = EventSplitter.empty();

    private String take(String text) {
        return new String(
                splitter.take(ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8))),
                StandardCharsets.UTF_8);
    }

    // A target breaks off in the middle of an event and another one goes on after the last whole
    // event. The caller must see each event once and no half of one.
    @Test
    void shouldHoldBackTheHalfEventWhenAStreamBreaksOff() {
        assertThat(take("id: 1\ndata: a\n\nid: 2\nda")).isEqualTo("id: 1\ndata: a\n\n");
        assertThat(splitter.midEvent()).isTrue();
        assertThat(splitter.lastId()).hasValue("1");

        splitter.dropPart();

        assertThat(take("id: 2\ndata: b\n\n")).isEqualTo("id: 2\ndata: b\n\n");
        assertThat(splitter.lastId()).hasValue("2");
    }

    @Test
    void shouldEndEventsWhenLinesEndWithCarriageReturns() {
        assertThat(take("id: 1\r\ndata: a\r\n\r\nid")).isEqualTo("id: 1\r\ndata: a\r\n\r\n");
        assertThat(splitter.lastId()).hasValue("1");
    }

    @Property(seed = "71", tries = 200)
    void shouldPassEveryByteOnOnceHoweverItIsCut(
            @ForAll @IntRange(min = 1, max = 30) int events, @ForAll long cuts) {
        String stream =
                IntStream.rangeClosed(1, events)
                        .mapToObj(number -> "id: " + number + "\ndata: x\n\n")
                        .collect(Collectors.joining());
        byte[] bytes = stream.getBytes(StandardCharsets.UTF_8);
        ByteArrayOutputStream passed = new ByteArrayOutputStream();
        Random random = new Random(cuts);
        EventSplitter fresh = EventSplitter.empty();

        for (int from = 0; from < bytes.length; ) {
            int length = Math.min(bytes.length - from, 1 + random.nextInt(20));
            byte[] whole = fresh.take(ByteBuffer.wrap(bytes, from, length));
            assertThat(new String(whole, StandardCharsets.UTF_8)).matches("(id: .*\n.*\n\n)*");
            passed.writeBytes(whole);
            from += length;
        }

        assertThat(passed.toString(StandardCharsets.UTF_8)).isEqualTo(stream);
        assertThat(fresh.events()).isEqualTo(events);
        assertThat(fresh.midEvent()).isFalse();
    }
}
