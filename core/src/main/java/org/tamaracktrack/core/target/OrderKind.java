package org.tamaracktrack.core.target;

import com.fasterxml.jackson.annotation.JsonValue;
import java.util.Locale;

/** The kinds of order that an engine takes. */
public enum OrderKind {
    LOAD_MODEL,
    UNLOAD_MODEL,
    LOAD_ADAPTER,
    UNLOAD_ADAPTER,
    SET_ROLE;

    /**
     * Returns the name that the engine knows.
     *
     * @return the name
     */
    @JsonValue
    public String text() {
        return name().toLowerCase(Locale.ROOT);
    }

    /**
     * Returns whether the order takes memory.
     *
     * @return true for the two loads
     */
    public boolean isLoad() {
        return this == LOAD_MODEL || this == LOAD_ADAPTER;
    }
}
