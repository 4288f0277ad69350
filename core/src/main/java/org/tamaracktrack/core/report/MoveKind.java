package org.tamaracktrack.core.report;

import java.util.Arrays;
import java.util.Locale;
import java.util.Optional;

/** The kinds of order that count as a move. */
public enum MoveKind {
    LOAD_MODEL,
    UNLOAD_MODEL,
    LOAD_ADAPTER,
    UNLOAD_ADAPTER,
    SET_ROLE;

    /**
     * Returns the kind as it stands in counter names and engine orders.
     *
     * @return the text
     */
    public String text() {
        return name().toLowerCase(Locale.ROOT);
    }

    /**
     * Returns the kind with a text.
     *
     * @param text the text
     * @return the kind, if there is one
     */
    public static Optional<MoveKind> of(String text) {
        return Arrays.stream(values()).filter(kind -> kind.text().equals(text)).findFirst();
    }
}
