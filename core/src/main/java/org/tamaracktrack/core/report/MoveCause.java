package org.tamaracktrack.core.report;

import java.util.Arrays;
import java.util.Locale;
import java.util.Optional;

/** The reason for a move. */
public enum MoveCause {
    /** No copy of the model was planned on any target. */
    HOME,
    /** Demand required a further copy, or the memory that one needs. */
    DEMAND,
    /** The target that held the copy was lost or is leaving. */
    RECOVERY,
    /** A waiting request needed the model or adapter and no plan provided it. */
    REQUEST,
    /** The configuration requires another version. */
    VERSION;

    /**
     * Returns the cause as it is written in counter names and plans.
     *
     * @return the text
     */
    public String text() {
        return name().toLowerCase(Locale.ROOT);
    }

    /**
     * Returns the cause that is written as a text.
     *
     * @param text the text
     * @return the cause; empty if the text is none of the causes
     */
    public static Optional<MoveCause> of(String text) {
        return Arrays.stream(values()).filter(cause -> cause.text().equals(text)).findFirst();
    }
}
