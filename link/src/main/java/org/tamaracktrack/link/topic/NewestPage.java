package org.tamaracktrack.link.topic;

import java.util.List;

/**
 * A page of the newest records of a partition's keys. Successive pages are read at different times
 * and don't form a consistent snapshot.
 *
 * @param records the newest record of each key on the page
 * @param more whether another page follows after the last key
 * @param end the end offset of the partition at the time of the read
 */
public record NewestPage(List<KeyedRecord> records, boolean more, long end) {

    /** Copies the list. */
    public NewestPage {
        records = List.copyOf(records);
    }
}
