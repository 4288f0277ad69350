package org.tamaracktrack.core.log;

import java.util.Objects;

/**
 * A record read from the log.
 *
 * @param offset its offset within its stream
 * @param appendedAtMillis the time at which the log service appended it, by the service's clock, in
 *     milliseconds since 1970
 * @param entry the content of the record
 */
public record LogRecord(long offset, long appendedAtMillis, LogEntry entry) {

    /** Checks the arguments. */
    public LogRecord {
        Objects.requireNonNull(entry, "entry is null");
    }

    /**
     * Returns a record.
     *
     * @param offset its offset within its stream
     * @param appendedAtMillis the time at which the log service appended it, in milliseconds since
     *     1970
     * @param entry the content of the record
     * @return the record
     */
    public static LogRecord of(long offset, long appendedAtMillis, LogEntry entry) {
        return new LogRecord(offset, appendedAtMillis, entry);
    }
}
