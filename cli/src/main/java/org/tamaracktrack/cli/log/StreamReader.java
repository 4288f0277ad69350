package org.tamaracktrack.cli.log;

import java.util.Objects;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import org.tamaracktrack.core.error.TamaracktrackException;
import org.tamaracktrack.core.log.LogRecord;
import org.tamaracktrack.core.log.LogStream;
import org.tamaracktrack.link.log.LogClient;

/**
 * Reads one stream of the log. Starts at the oldest record, and continues where the last read
 * ended.
 */
public final class StreamReader {
    private static final int BATCH_RECORDS = 500;

    private final LogClient log;
    private final LogStream stream;
    private final Consumer<LogRecord> onRecord;
    private final LongConsumer onUndecodable;
    private final LongConsumer onGap;
    private long nextOffset;

    private StreamReader(
            LogClient log,
            LogStream stream,
            Consumer<LogRecord> onRecord,
            LongConsumer onUndecodable,
            LongConsumer onGap) {
        this.log = log;
        this.stream = stream;
        this.onRecord = onRecord;
        this.onUndecodable = onUndecodable;
        this.onGap = onGap;
    }

    /**
     * Returns a reader that reports undecodable records and gaps.
     *
     * @param log the log
     * @param stream the stream
     * @param onRecord receives each record
     * @param onUndecodable receives the offsets of records that can't be decoded
     * @param onGap receives the oldest available offset if earlier records expired before they were
     *     read
     * @return the reader
     */
    public static StreamReader of(
            LogClient log,
            LogStream stream,
            Consumer<LogRecord> onRecord,
            LongConsumer onUndecodable,
            LongConsumer onGap) {
        Objects.requireNonNull(log, "log is null");
        Objects.requireNonNull(stream, "stream is null");
        return new StreamReader(log, stream, onRecord, onUndecodable, onGap);
    }

    /**
     * Returns a reader that ignores undecodable records and gaps.
     *
     * @param log the log
     * @param stream the stream
     * @param onRecord receives each record
     * @return the reader
     */
    public static StreamReader of(LogClient log, LogStream stream, Consumer<LogRecord> onRecord) {
        return of(log, stream, onRecord, offset -> {}, offset -> {});
    }

    /**
     * Reads all records up to the end of the stream. Retries failed reads.
     *
     * @param timer limits the retries
     * @throws TamaracktrackException with {@code LOG_UNAVAILABLE} if the log can't be read within
     *     the time limit
     */
    public void readToEnd(RetryTimer timer) {
        while (!readBatch(timer)) {
            continue;
        }
    }

    private boolean readBatch(RetryTimer timer) {
        try {
            return deliver(log.read(stream, nextOffset, BATCH_RECORDS, 0));
        } catch (TamaracktrackException failure) {
            if (!timer.awaitNextAttempt()) {
                throw failure;
            }
            return false;
        }
    }

    private boolean deliver(LogClient.Batch batch) {
        if (batch.firstOffset() > nextOffset) {
            onGap.accept(batch.firstOffset());
        }
        batch.undecodable().forEach(onUndecodable::accept);
        batch.records().forEach(onRecord);
        long last = batch.records().stream().mapToLong(LogRecord::offset).max().orElse(-1);
        long undecodable = batch.undecodable().stream().mapToLong(Long::longValue).max().orElse(-1);
        nextOffset =
                Math.max(
                        Math.max(nextOffset, batch.firstOffset()), Math.max(last, undecodable) + 1);
        return nextOffset >= batch.nextOffset();
    }
}
