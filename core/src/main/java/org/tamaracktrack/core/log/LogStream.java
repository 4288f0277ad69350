package org.tamaracktrack.core.log;

/** The streams of the log that the system uses. Offsets are counted per stream, from 0. */
public enum LogStream {
    /** Publications and snapshots of the configuration. */
    CONFIGURATION("configuration"),
    /** Ownership of targets, orders in flight and drain requests. */
    OWNERSHIP("ownership"),
    /** Leases of duties and placement plans. */
    PLAN("plan"),
    /** Claims of idempotency keys. */
    CLAIMS("claims"),
    /** Cumulative counters and roll-ups. */
    REPORTS("reports");

    private final String path;

    LogStream(String path) {
        this.path = path;
    }

    /**
     * Returns the name of the stream in paths of the log service.
     *
     * @return the name
     */
    public String path() {
        return path;
    }
}
