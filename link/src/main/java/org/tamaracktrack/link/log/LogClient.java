package org.tamaracktrack.link.log;

import java.util.List;
import org.tamaracktrack.core.log.LogEntry;
import org.tamaracktrack.core.log.LogRecord;
import org.tamaracktrack.core.log.LogStream;

/** The platform's log. Calls block, so they belong on threads made for them. */
public interface LogClient {

    /**
     * Appends an entry. It is not sent again by this call.
     *
     * @param stream the stream
     * @param entry the entry
     * @return where it is
     * @throws org.tamaracktrack.core.error.TamaracktrackException with {@code LOG_UNAVAILABLE} when
     *     it was certainly not written, {@code LOG_OUTCOME_UNKNOWN} when it may have been
     */
    Appended append(LogStream stream, LogEntry entry);

    /**
     * Reads records from an offset on, waiting for one if there is none yet.
     *
     * @param stream the stream
     * @param from the first offset wanted
     * @param maximum how many records at most
     * @param waitMillis how long to wait for the first
     * @return the records, and which offsets the log holds
     * @throws org.tamaracktrack.core.error.TamaracktrackException with {@code LOG_UNAVAILABLE}
     */
    Batch read(LogStream stream, long from, int maximum, long waitMillis);

    /**
     * Where an entry was written.
     *
     * @param offset its offset
     * @param appendedAtMillis when, by the log's clock
     */
    record Appended(long offset, long appendedAtMillis) {}

    /**
     * Records read. A reader whose next offset is below {@code firstOffset} has missed records that
     * expired.
     *
     * @param firstOffset the oldest offset that the log still holds
     * @param nextOffset the offset of the record to be appended next
     * @param records the records in order
     * @param undecodable offsets of records that are not understood
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
