package org.tamaracktrack.link.topic;

import java.util.List;

/**
 * Records read from a partition.
 *
 * @param from the offset of the first record
 * @param records the bytes of each record in the order of their offsets
 * @param end the end offset of the partition at the time of the read
 */
public record RecordBatch(long from, List<byte[]> records, long end) {

    /** Copies the list. */
    public RecordBatch {
        records = List.copyOf(records);
    }

    /**
     * Returns the offset at which the next read starts.
     *
     * @return the offset after the last record
     */
    public long nextOffset() {
        return from + records.size();
    }
}
