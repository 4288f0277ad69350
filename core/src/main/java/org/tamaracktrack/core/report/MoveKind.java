package org.tamaracktrack.core.report;

import java.util.Arrays;
import java.util.Locale;
import java.util.Optional;

/** The kinds of engine order that are counted as moves. */
public enum MoveKind {
    LOAD_MODEL,
    UNLOAD_MODEL,
    LOAD_ADAPTER,
    UNLOAD_ADAPTER,
    SET_ROLE;

    /**
     * Returns the kind as it is written in counter names and engine orders.
     *
     * @return the text
     */
    public String text() {
        return name().toLowerCase(Locale.ROOT);
    }

    /**
     * Returns the kind that is written as a text.
     *
     * @param text the text
     * @return the kind; empty if the text is none of the kinds
     */
    public static Optional<MoveKind> of(String text) {
        return Arrays.stream(values()).filter(kind -> kind.text().equals(text)).findFirst();
    }
}
