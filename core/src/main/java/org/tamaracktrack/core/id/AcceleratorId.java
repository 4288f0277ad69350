package org.tamaracktrack.core.id;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * The name of an accelerator, unique within its target.
 *
 * @param value the identifier as text, 1 to 128 characters of letters, digits and {@code ._:/-}
 */
public record AcceleratorId(@JsonValue String value) implements Comparable<AcceleratorId> {

    /**
     * Checks the text.
     *
     * @throws org.tamaracktrack.core.error.TamaracktrackException with {@code BAD_IDENTIFIER} when
     *     the text is empty, too long or has other characters
     */
    public AcceleratorId {
        Identifiers.check(value);
    }

    /**
     * Returns the identifier for a text.
     *
     * @param value the text
     * @return the identifier
     */
    @JsonCreator
    public static AcceleratorId of(String value) {
        return new AcceleratorId(value);
    }

    @Override
    public int compareTo(AcceleratorId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
