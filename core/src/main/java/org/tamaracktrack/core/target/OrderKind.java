package org.tamaracktrack.core.target;

import com.fasterxml.jackson.annotation.JsonValue;
import java.util.Locale;

/** The kinds of order that an engine accepts. */
public enum OrderKind {
    LOAD_MODEL,
    UNLOAD_MODEL,
    LOAD_ADAPTER,
    UNLOAD_ADAPTER,
    SET_ROLE;

    /**
     * Returns the name of the kind in orders to the engine.
     *
     * @return the name
     */
    @JsonValue
    public String text() {
        return name().toLowerCase(Locale.ROOT);
    }

    /**
     * Returns whether the order allocates memory.
     *
     * @return true for loads of models and adapters
     */
    public boolean isLoad() {
        return this == LOAD_MODEL || this == LOAD_ADAPTER;
    }
}
