package org.tamaracktrack.link.topic;

import java.util.List;

/**
 * Records read from a partition.
 *
 * @param from the offset of the first
 * @param records their bytes in order
 * @param end where the partition ended
 */
public record RecordBatch(long from, List<byte[]> records, long end) {

    /** Copies the list. */
    public RecordBatch {
        records = List.copyOf(records);
    }

    /**
     * Returns where to read on.
     *
     * @return the offset after the last record
     */
    public long next() {
        return from + records.size();
    }
}
