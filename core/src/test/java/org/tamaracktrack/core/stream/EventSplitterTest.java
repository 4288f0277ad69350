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

    private String split(String text) {
        return new String(
                splitter.split(ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8))),
                StandardCharsets.UTF_8);
    }

    // A target breaks off in the middle of an event, and another target continues after the last
    // complete event. The caller must receive each event once and no partial event.
    @Test
    void shouldHoldBackThePartialEventWhenAStreamBreaksOff() {
        assertThat(split("id: 1\ndata: a\n\nid: 2\nda")).isEqualTo("id: 1\ndata: a\n\n");
        assertThat(splitter.hasPartialEvent()).isTrue();
        assertThat(splitter.lastId()).hasValue("1");

        splitter.discardPartialEvent();

        assertThat(split("id: 2\ndata: b\n\n")).isEqualTo("id: 2\ndata: b\n\n");
        assertThat(splitter.lastId()).hasValue("2");
    }

    @Test
    void shouldEndEventsWhenLinesEndWithCarriageReturns() {
        assertThat(split("id: 1\r\ndata: a\r\n\r\nid")).isEqualTo("id: 1\r\ndata: a\r\n\r\n");
        assertThat(splitter.lastId()).hasValue("1");
    }

    @Property(seed = "71", tries = 200)
    void shouldForwardEveryByteOnceForAnySplitOfTheInput(
            @ForAll @IntRange(min = 1, max = 30) int events, @ForAll long cuts) {
        String stream =
                IntStream.rangeClosed(1, events)
                        .mapToObj(number -> "id: " + number + "\ndata: x\n\n")
                        .collect(Collectors.joining());
        byte[] bytes = stream.getBytes(StandardCharsets.UTF_8);
        ByteArrayOutputStream forwarded = new ByteArrayOutputStream();
        Random random = new Random(cuts);
        EventSplitter newSplitter = EventSplitter.empty();

        for (int from = 0; from < bytes.length; ) {
            int length = Math.min(bytes.length - from, 1 + random.nextInt(20));
            byte[] completeEvents = newSplitter.split(ByteBuffer.wrap(bytes, from, length));
            assertThat(new String(completeEvents, StandardCharsets.UTF_8))
                    .matches("(id: .*\n.*\n\n)*");
            forwarded.writeBytes(completeEvents);
            from += length;
        }

        assertThat(forwarded.toString(StandardCharsets.UTF_8)).isEqualTo(stream);
        assertThat(newSplitter.eventCount()).isEqualTo(events);
        assertThat(newSplitter.hasPartialEvent()).isFalse();
    }
}
