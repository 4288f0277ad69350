package org.tamaracktrack.core.lease;

import java.util.Locale;

/** The duties of which each is held by one entry daemon at a time. */
public enum Duty {
    /** Publishes placement plans. */
    PLANNER,
    /** Publishes snapshots of reports and of the configuration. */
    REPORTER;

    /**
     * Returns the text that names the duty in lease records.
     *
     * @return the text
     */
    public String text() {
        return name().toLowerCase(Locale.ROOT);
    }
}
