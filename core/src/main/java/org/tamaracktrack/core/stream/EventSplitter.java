package org.tamaracktrack.core.stream;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Optional;

/**
 * Cuts a stream of server-sent events after whole events.
 *
 * <p>A target may break off in the middle of an event. Were its bytes passed on as they come, a
 * stream that goes on at another target would have that event twice, or half of it. Only whole
 * events leave this splitter, and it remembers the last one's id, at which another target resumes.
 */
public final class EventSplitter {
    private static final byte[] EMPTY = {};
    private static final byte[] ID_FIELD = "id:".getBytes(StandardCharsets.US_ASCII);

    /** No event of an engine comes near this; past it the stream is taken as broken. */
    private static final int MOST_PENDING_BYTES = 256 * 1024;

    private byte[] pending = EMPTY;
    private Optional<String> lastId = Optional.empty();
    private int events;

    private EventSplitter() {}

    /**
     * Returns a splitter at the start of a stream.
     *
     * @return the splitter
     */
    public static EventSplitter empty() {
        return new EventSplitter();
    }

    /**
     * Takes the next bytes of the stream.
     *
     * @param bytes the bytes, read to their limit
     * @return the whole events that are now complete, may be empty
     */
    public byte[] take(ByteBuffer bytes) {
        byte[] all = join(pending, bytes);
        int end = endOfLastEvent(all);
        if (end == 0) {
            pending = all;
            return EMPTY;
        }
        pending = end == all.length ? EMPTY : Arrays.copyOfRange(all, end, all.length);
        byte[] whole = end == all.length ? all : Arrays.copyOf(all, end);
        note(whole);
        return whole;
    }

    private static byte[] join(byte[] first, ByteBuffer second) {
        byte[] joined = Arrays.copyOf(first, first.length + second.remaining());
        second.get(joined, first.length, second.remaining());
        return joined;
    }

    private static int endOfLastEvent(byte[] bytes) {
        for (int index = bytes.length - 1; index > 0; index--) {
            if (bytes[index] == '\n' && endsBlankLine(bytes, index)) {
                return index + 1;
            }
        }
        return 0;
    }

    private static boolean endsBlankLine(byte[] bytes, int newline) {
        if (bytes[newline - 1] == '\n') {
            return true;
        }
        return newline >= 2 && bytes[newline - 1] == '\r' && bytes[newline - 2] == '\n';
    }

    private void note(byte[] whole) {
        int lineStart = 0;
        for (int index = 0; index < whole.length; index++) {
            if (whole[index] != '\n') {
                continue;
            }
            if (startsWithId(whole, lineStart, index)) {
                int from = lineStart + ID_FIELD.length;
                String id = new String(whole, from, index - from, StandardCharsets.UTF_8);
                lastId = Optional.of(id.strip());
                events++;
            }
            lineStart = index + 1;
        }
    }

    private static boolean startsWithId(byte[] bytes, int start, int end) {
        return end - start >= ID_FIELD.length
                && Arrays.equals(
                        bytes, start, start + ID_FIELD.length, ID_FIELD, 0, ID_FIELD.length);
    }

    /** Forgets the part of an event that its target did not finish. */
    public void dropPart() {
        pending = EMPTY;
    }

    /**
     * Returns whether bytes are held back that are no whole event yet.
     *
     * @return true when there are some
     */
    public boolean midEvent() {
        return pending.length > 0;
    }

    /**
     * Returns whether more is held back than any event has.
     *
     * @return true when the stream is to be taken as broken
     */
    public boolean overflown() {
        return pending.length > MOST_PENDING_BYTES;
    }

    /**
     * Returns the id of the last whole event.
     *
     * @return the id; empty before the first event with one
     */
    public Optional<String> lastId() {
        return lastId;
    }

    /**
     * Returns how many events with an id there were.
     *
     * @return the number
     */
    public int events() {
        return events;
    }
}
