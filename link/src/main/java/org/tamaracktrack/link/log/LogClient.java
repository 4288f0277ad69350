package org.tamaracktrack.link.log;

import java.util.List;
import org.tamaracktrack.core.log.LogEntry;
import org.tamaracktrack.core.log.LogRecord;
import org.tamaracktrack.core.log.LogStream;

/**
 * A client of the platform's log. Calls block, so they must not be made on input/output threads or
 * on the control thread.
 */
public interface LogClient {

    /**
     * Appends an entry. The call doesn't retry.
     *
     * @param stream the stream
     * @param entry the entry
     * @return where the entry was written
     * @throws org.tamaracktrack.core.error.TamaracktrackException with {@code LOG_UNAVAILABLE} if
     *     the entry was certainly not written, or {@code LOG_OUTCOME_UNKNOWN} if it may have been
     */
    Appended append(LogStream stream, LogEntry entry);

    /**
     * Reads records from an offset on. If there are none yet, waits for the first.
     *
     * @param stream the stream
     * @param from the first offset to read
     * @param maximum the maximum number of records
     * @param waitMillis how long to wait for the first record, in milliseconds
     * @return the records, and the range of offsets that the log holds
     * @throws org.tamaracktrack.core.error.TamaracktrackException with {@code LOG_UNAVAILABLE} if
     *     the log can't be read
     */
    Batch read(LogStream stream, long from, int maximum, long waitMillis);

    /**
     * The position of an entry that was appended.
     *
     * @param offset the offset of the entry
     * @param appendedAtMillis the time of the append in milliseconds, by the log's clock
     */
    record Appended(long offset, long appendedAtMillis) {}

    /**
     * The result of a read. A reader whose next offset is below {@code firstOffset} has missed
     * records that expired.
     *
     * @param firstOffset the oldest offset that the log still holds
     * @param nextOffset the offset that the next appended record will have
     * @param records the decoded records in the order of their offsets
     * @param undecodable the offsets of the records that can't be decoded
     */
    record Batch(
            long firstOffset, long nextOffset, List<LogRecord> records, List<Long> undecodable) {

        /** Copies the lists. */
        public Batch {
            records = List.copyOf(records);
            undecodable = List.copyOf(undecodable);
        }
    }
}
