package org.tamaracktrack.link.http;

import java.nio.charset.StandardCharsets;
import java.util.Optional;

/**
 * Checks one line of a head or a trailer against the grammar of fields: a name, a colon and a
 * value, in which blanks surround the value only. A line that continues the one before is no field.
 * Used by a single thread.
 */
final class FieldLine {
    /** Longer than any valid line that states the length of a body. */
    private static final int KEPT_BYTES = 128;

    private static final String NAME_SYMBOLS = "!#$%&'*+-.^_`|~";
    private static final int DELETE = 0x7f;

    private final byte[] kept = new byte[KEPT_BYTES];
    private int bytes;
    private int nameBytes;

    private FieldLine() {}

    static FieldLine empty() {
        return new FieldLine();
    }

    void clear() {
        bytes = 0;
        nameBytes = 0;
    }

    boolean isEmpty() {
        return bytes == 0;
    }

    /** Adds a byte; returns whether the line may still be a field. */
    boolean add(byte value) {
        if (bytes < KEPT_BYTES) {
            kept[bytes] = value;
        }
        bytes++;
        if (isInsideValue()) {
            return isText(value);
        }
        if (value == ':' && bytes > 1) {
            nameBytes = bytes - 1;
            return true;
        }
        return isNameByte(value);
    }

    private boolean isInsideValue() {
        return nameBytes > 0;
    }

    /** Returns whether the line is a field, now that it has ended. */
    boolean isComplete() {
        return isInsideValue();
    }

    /** Returns whether the line is a field with a name, in any case. */
    boolean isNamed(String name) {
        return nameBytes == name.length()
                && new String(kept, 0, nameBytes, StandardCharsets.ISO_8859_1)
                        .equalsIgnoreCase(name);
    }

    /** Returns the value; empty when the line is longer than any that states a length. */
    Optional<String> value() {
        return bytes > KEPT_BYTES
                ? Optional.empty()
                : Optional.of(
                        new String(
                                        kept,
                                        nameBytes + 1,
                                        bytes - nameBytes - 1,
                                        StandardCharsets.ISO_8859_1)
                                .strip());
    }

    /** Returns whether a byte may stand in a value or in the reason beside a status. */
    static boolean isText(byte value) {
        return value == '\t' || (value & 0xff) >= ' ' && value != DELETE;
    }

    private static boolean isNameByte(byte value) {
        return value >= 'a' && value <= 'z'
                || value >= 'A' && value <= 'Z'
                || value >= '0' && value <= '9'
                || NAME_SYMBOLS.indexOf(value) >= 0;
    }
}
