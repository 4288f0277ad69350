package org.tamaracktrack.core.stream;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Optional;

/**
 * Splits a stream of server-sent events at event boundaries.
 *
 * <p>A target may break off in the middle of an event. If its bytes were forwarded as they arrive,
 * a stream that continues on another target would contain that event twice or only in part. This
 * class returns only complete events, and it stores the id of the last one, after which another
 * target resumes.
 */
public final class EventSplitter {
    private static final byte[] EMPTY = {};
    private static final byte[] ID_FIELD = "id:".getBytes(StandardCharsets.US_ASCII);

    /**
     * Exceeds the size of any event of an engine; a stream with a longer event is treated as
     * broken.
     */
    private static final int MAXIMUM_PENDING_BYTES = 256 * 1024;

    private byte[] pending = EMPTY;
    private int pendingLength;
    private Optional<String> lastId = Optional.empty();
    private int eventCount;

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
     * Adds the next bytes of the stream and returns the events that they complete.
     *
     * @param bytes the bytes, read up to their limit
     * @return the complete events, may be empty
     */
    public byte[] split(ByteBuffer bytes) {
        int searchedLength = pendingLength;
        append(bytes);
        int end = endOfLastEvent(searchedLength);
        if (end == 0) {
            return EMPTY;
        }
        byte[] completeEvents = Arrays.copyOf(pending, end);
        pending = end == pendingLength ? EMPTY : Arrays.copyOfRange(pending, end, pendingLength);
        pendingLength -= end;
        recordIds(completeEvents);
        return completeEvents;
    }

    // The room grows by doubling, so that a long event is not copied with each of its parts.
    private void append(ByteBuffer bytes) {
        int length = pendingLength + bytes.remaining();
        if (length > pending.length) {
            pending = Arrays.copyOf(pending, Math.max(length, 2 * pendingLength));
        }
        bytes.get(pending, pendingLength, bytes.remaining());
        pendingLength = length;
    }

    private int endOfLastEvent(int searchedLength) {
        for (int index = pendingLength - 1; index >= Math.max(1, searchedLength); index--) {
            if (pending[index] == '\n' && endsBlankLine(pending, index)) {
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

    private void recordIds(byte[] completeEvents) {
        int lineStart = 0;
        for (int index = 0; index < completeEvents.length; index++) {
            if (completeEvents[index] != '\n') {
                continue;
            }
            if (startsWithId(completeEvents, lineStart, index)) {
                int from = lineStart + ID_FIELD.length;
                String id = new String(completeEvents, from, index - from, StandardCharsets.UTF_8);
                lastId = Optional.of(id.strip());
                eventCount++;
            }
            lineStart = index + 1;
        }
    }

    private static boolean startsWithId(byte[] bytes, int start, int end) {
        return end - start >= ID_FIELD.length
                && Arrays.equals(
                        bytes, start, start + ID_FIELD.length, ID_FIELD, 0, ID_FIELD.length);
    }

    /** Discards the partial event that its target did not finish. */
    public void discardPartialEvent() {
        pending = EMPTY;
        pendingLength = 0;
    }

    /**
     * Returns whether a partial event is held back.
     *
     * @return true when bytes of an incomplete event are held back
     */
    public boolean hasPartialEvent() {
        return pendingLength > 0;
    }

    /**
     * Returns whether the partial event exceeds the size of any valid event.
     *
     * @return true when the stream must be treated as broken
     */
    public boolean exceedsPendingLimit() {
        return pendingLength > MAXIMUM_PENDING_BYTES;
    }

    /**
     * Returns the id of the last complete event.
     *
     * @return the id; empty before the first event with an id
     */
    public Optional<String> lastId() {
        return lastId;
    }

    /**
     * Returns the number of events with an id.
     *
     * @return the number
     */
    public int eventCount() {
        return eventCount;
    }
}
