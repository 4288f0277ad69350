package org.tamaracktrack.core.report;

import java.util.Arrays;
import java.util.Locale;
import java.util.Optional;

/** Why a move was made. */
public enum MoveCause {
    /** The model had no copy planned anywhere. */
    HOME,
    /** Demand asked for a further copy, or for the room that one takes. */
    DEMAND,
    /** The target that held the copy was lost or is leaving. */
    RECOVERY,
    /** A waiting request needed it and no plan provided it. */
    REQUEST,
    /** A configuration asks for another version. */
    VERSION;

    /**
     * Returns the cause as it stands in counter names and plans.
     *
     * @return the text
     */
    public String text() {
        return name().toLowerCase(Locale.ROOT);
    }

    /**
     * Returns the cause with a text.
     *
     * @param text the text
     * @return the cause, if there is one
     */
    public static Optional<MoveCause> of(String text) {
        return Arrays.stream(values()).filter(cause -> cause.text().equals(text)).findFirst();
    }
}
