package org.tamaracktrack.link.topic;

import java.util.Objects;
import java.util.Optional;

/**
 * A record of a topic that keeps the newest record of each key.
 *
 * @param key the key
 * @param value the value; empty when the key was removed
 * @param offset where the record stands
 */
public record KeyedRecord(String key, Optional<byte[]> value, long offset) {

    /** Checks the arguments. */
    public KeyedRecord {
        Objects.requireNonNull(key, "key is null");
        Objects.requireNonNull(value, "value is null");
    }
}
