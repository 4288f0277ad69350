package org.tamaracktrack.core.lease;

import java.util.Locale;

/** The duties that one entry daemon at a time holds. */
public enum Duty {
    /** Publishes placement plans. */
    PLANNER,
    /** Publishes snapshots of reports and of the configuration. */
    REPORTER;

    /**
     * Returns the duty as it stands in lease records.
     *
     * @return the text
     */
    public String text() {
        return name().toLowerCase(Locale.ROOT);
    }
}
