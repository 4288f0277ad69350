package org.tamaracktrack.standins.log;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;

/** The records of every stream. Not safe for use by several threads. */
public final class LogStore {
    private final Map<String, Stream> streams = new HashMap<>();
    private int retainedRecords;

    private LogStore(int retainedRecords) {
        this.retainedRecords = retainedRecords;
    }

    /**
     * A record.
     *
     * @param offset its offset in its stream
     * @param appendedAtMillis when it was written
     * @param body what was written
     */
    public record StoredRecord(long offset, long appendedAtMillis, String body) {}

    /**
     * A part of a stream.
     *
     * @param firstOffset the oldest record there still is
     * @param nextOffset the offset of the record to be written next
     * @param records the records that were asked for
     */
    public record Page(long firstOffset, long nextOffset, List<StoredRecord> records) {}

    private static final class Stream {
        private final ArrayDeque<StoredRecord> records = new ArrayDeque<>();
        private long nextOffset;
    }

    /**
     * Returns an empty store.
     *
     * @param retainedRecords how many records each stream keeps
     * @return the store
     */
    public static LogStore of(int retainedRecords) {
        return new LogStore(retainedRecords);
    }

    /**
     * Writes a record.
     *
     * @param stream the stream's name
     * @param body what to write
     * @param nowMillis the time
     * @return the record
     */
    public StoredRecord append(String stream, String body, long nowMillis) {
        Objects.requireNonNull(body, "body is null");
        Stream to = stream(stream);
        StoredRecord written = new StoredRecord(to.nextOffset, nowMillis, body);
        to.nextOffset++;
        to.records.addLast(written);
        expire(to);
        return written;
    }

    /**
     * Reads records.
     *
     * @param name the stream's name
     * @param from the first offset wanted
     * @param maximum how many at the most
     * @return the records, from the oldest there still is when those before have expired
     */
    public Page read(String name, long from, int maximum) {
        Stream stream = stream(name);
        long first = stream.nextOffset - stream.records.size();
        List<StoredRecord> records =
                stream.records.stream().skip(Math.max(0, from - first)).limit(maximum).toList();
        return new Page(first, stream.nextOffset, records);
    }

    /**
     * Changes how many records each stream keeps.
     *
     * @param records how many
     */
    public void retain(int records) {
        retainedRecords = records;
        streams.values().forEach(this::expire);
    }

    /**
     * Returns the next offset of each stream.
     *
     * @return the offsets by stream
     */
    public Map<String, Long> nextOffsets() {
        Map<String, Long> offsets = new HashMap<>();
        streams.forEach((name, stream) -> offsets.put(name, stream.nextOffset));
        return offsets;
    }

    private Stream stream(String name) {
        return streams.computeIfAbsent(name, ignored -> new Stream());
    }

    private void expire(Stream stream) {
        while (stream.records.size() > retainedRecords) {
            stream.records.removeFirst();
        }
    }
}
