package org.tamaracktrack.core.id;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * The name of an adapter of a base model.
 *
 * @param value the identifier as text, 1 to 128 characters of letters, digits and {@code ._:/-}
 */
public record AdapterId(@JsonValue String value) implements Comparable<AdapterId> {

    /**
     * Checks the text.
     *
     * @throws org.tamaracktrack.core.error.TamaracktrackException with {@code BAD_IDENTIFIER} when
     *     the text is empty, too long or has other characters
     */
    public AdapterId {
        Identifiers.check(value);
    }

    /**
     * Returns the identifier for a text.
     *
     * @param value the text
     * @return the identifier
     */
    @JsonCreator
    public static AdapterId of(String value) {
        return new AdapterId(value);
    }

    @Override
    public int compareTo(AdapterId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
