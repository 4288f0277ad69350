package org.tamaracktrack.link.topic;

import java.util.List;

/**
 * A page of the newest records of a partition's keys. Pages are not a snapshot.
 *
 * @param records the records
 * @param more whether another page follows after the last key
 * @param end the offset at which the partition ended
 */
public record NewestPage(List<KeyedRecord> records, boolean more, long end) {

    /** Copies the list. */
    public NewestPage {
        records = List.copyOf(records);
    }
}
