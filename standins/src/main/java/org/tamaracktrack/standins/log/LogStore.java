package org.tamaracktrack.standins.log;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;

/** Stores the records of all streams in memory. Not safe for use by several threads. */
public final class LogStore {
    private final Map<String, Stream> streams = new HashMap<>();
    private int retainedRecords;

    private LogStore(int retainedRecords) {
        this.retainedRecords = retainedRecords;
    }

    /**
     * A record.
     *
     * @param offset the offset in the stream
     * @param appendedAtMillis the time of the append, in milliseconds since the epoch
     * @param body the content
     */
    public record StoredRecord(long offset, long appendedAtMillis, String body) {}

    /**
     * A range of records of a stream.
     *
     * @param firstOffset the offset of the oldest record that is retained
     * @param nextOffset the offset of the next record to be appended
     * @param records the requested records
     */
    public record Page(long firstOffset, long nextOffset, List<StoredRecord> records) {}

    private static final class Stream {
        private final ArrayDeque<StoredRecord> records = new ArrayDeque<>();
        private long nextOffset;
    }

    /**
     * Returns an empty store.
     *
     * @param retainedRecords the number of records that each stream retains
     * @return the store
     */
    public static LogStore of(int retainedRecords) {
        return new LogStore(retainedRecords);
    }

    /**
     * Appends a record.
     *
     * @param streamName the name of the stream
     * @param body the content
     * @param nowMillis the current time, in milliseconds since the epoch
     * @return the record
     */
    public StoredRecord append(String streamName, String body, long nowMillis) {
        Objects.requireNonNull(body, "body is null");
        Stream destination = stream(streamName);
        StoredRecord written = new StoredRecord(destination.nextOffset, nowMillis, body);
        destination.nextOffset++;
        destination.records.addLast(written);
        expire(destination);
        return written;
    }

    /**
     * Reads records.
     *
     * @param name the name of the stream
     * @param from the first requested offset
     * @param maximum the maximum number of records
     * @return the records; they start at the oldest retained record if earlier ones have expired
     */
    public Page read(String name, long from, int maximum) {
        Stream stream = stream(name);
        long firstOffset = stream.nextOffset - stream.records.size();
        List<StoredRecord> records =
                stream.records.stream()
                        .skip(Math.max(0, from - firstOffset))
                        .limit(maximum)
                        .toList();
        return new Page(firstOffset, stream.nextOffset, records);
    }

    /**
     * Sets the number of records that each stream retains, and expires older records.
     *
     * @param records the number of records
     */
    public void setRetainedRecords(int records) {
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
