package org.tamaracktrack.link.topic;

import java.util.Objects;
import java.util.Optional;

/**
 * A record of a compacted topic, which keeps the newest record of each key.
 *
 * @param key the key
 * @param value the value; empty if the record removes the key
 * @param offset the offset of the record in its partition
 */
public record KeyedRecord(String key, Optional<byte[]> value, long offset) {

    /** Checks the arguments. */
    public KeyedRecord {
        Objects.requireNonNull(key, "key is null");
        Objects.requireNonNull(value, "value is null");
    }
}
