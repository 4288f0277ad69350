package org.tamaracktrack.core.id;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identifies one run of a process; a restarted process gets a new identifier.
 *
 * @param value the identifier as text, 1 to 128 characters of letters, digits and {@code ._:/-}
 */
public record IncarnationId(@JsonValue String value) implements Comparable<IncarnationId> {

    /**
     * Checks the text.
     *
     * @throws org.tamaracktrack.core.error.TamaracktrackException with {@code BAD_IDENTIFIER} when
     *     the text is empty, too long or has other characters
     */
    public IncarnationId {
        Identifiers.check(value);
    }

    /**
     * Returns the identifier for a text.
     *
     * @param value the text
     * @return the identifier
     */
    @JsonCreator
    public static IncarnationId of(String value) {
        return new IncarnationId(value);
    }

    @Override
    public int compareTo(IncarnationId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
