package org.tamaracktrack.core.id;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * The name of a client account.
 *
 * @param value the identifier as text, 1 to 128 characters of letters, digits and {@code ._:/-}
 */
public record ClientAccountId(@JsonValue String value) implements Comparable<ClientAccountId> {

    /**
     * Checks the text.
     *
     * @throws org.tamaracktrack.core.error.TamaracktrackException with {@code BAD_IDENTIFIER} when
     *     the text is empty, too long or has other characters
     */
    public ClientAccountId {
        Identifiers.check(value);
    }

    /**
     * Returns the identifier for a text.
     *
     * @param value the text
     * @return the identifier
     */
    @JsonCreator
    public static ClientAccountId of(String value) {
        return new ClientAccountId(value);
    }

    @Override
    public int compareTo(ClientAccountId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
