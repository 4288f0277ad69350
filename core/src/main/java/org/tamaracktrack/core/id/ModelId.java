package org.tamaracktrack.core.id;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * The name of a model.
 *
 * @param value the identifier as text, 1 to 128 characters of letters, digits and {@code ._:/-}
 */
public record ModelId(@JsonValue String value) implements Comparable<ModelId> {

    /**
     * Checks the text.
     *
     * @throws org.tamaracktrack.core.error.TamaracktrackException with {@code BAD_IDENTIFIER} when
     *     the text is empty, too long or has other characters
     */
    public ModelId {
        Identifiers.check(value);
    }

    /**
     * Returns the identifier for a text.
     *
     * @param value the text
     * @return the identifier
     */
    @JsonCreator
    public static ModelId of(String value) {
        return new ModelId(value);
    }

    @Override
    public int compareTo(ModelId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
