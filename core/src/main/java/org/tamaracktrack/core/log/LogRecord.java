package org.tamaracktrack.core.log;

import java.util.Objects;

/**
 * A record as read from the log.
 *
 * @param offset its offset within its stream
 * @param appendedAtMillis when the log service took it, by the service's clock, in milliseconds
 *     since 1970
 * @param entry what was written
 */
public record LogRecord(long offset, long appendedAtMillis, LogEntry entry) {

    /** Checks the arguments. */
    public LogRecord {
        Objects.requireNonNull(entry, "entry is null");
    }

    /**
     * Returns a record.
     *
     * @param offset its offset
     * @param appendedAtMillis when the log took it
     * @param entry what was written
     * @return the record
     */
    public static LogRecord of(long offset, long appendedAtMillis, LogEntry entry) {
        return new LogRecord(offset, appendedAtMillis, entry);
    }
}
