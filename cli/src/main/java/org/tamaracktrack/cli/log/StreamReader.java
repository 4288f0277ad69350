package org.tamaracktrack.cli.log;

import java.util.Objects;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import org.tamaracktrack.core.error.TamaracktrackException;
import org.tamaracktrack.core.log.LogRecord;
import org.tamaracktrack.core.log.LogStream;
import org.tamaracktrack.link.log.LogClient;

/** Reads one stream from its oldest record to its end, and on from there. */
public final class StreamReader {
    private static final int BATCH = 500;

    private final LogClient log;
    private final LogStream stream;
    private final Consumer<LogRecord> onRecord;
    private final LongConsumer onUndecodable;
    private final LongConsumer onGap;
    private long next;

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
     * Returns a reader that hears of gaps.
     *
     * @param log the log
     * @param stream the stream
     * @param onRecord hears of each record
     * @param onUndecodable hears of the offsets of records that are not understood
     * @param onGap hears of the oldest offset there is when records before it expired unread
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
     * Returns a reader of a stream in which only what there still is counts.
     *
     * @param log the log
     * @param stream the stream
     * @param onRecord hears of each record
     * @return the reader
     */
    public static StreamReader of(LogClient log, LogStream stream, Consumer<LogRecord> onRecord) {
        return of(log, stream, onRecord, offset -> {}, offset -> {});
    }

    /**
     * Reads to the end. A log that can't be read is tried again.
     *
     * @param patience how often
     * @throws TamaracktrackException with {@code LOG_UNAVAILABLE} when the patience is over
     */
    public void readToEnd(Patience patience) {
        while (!readBatch(patience)) {
            continue;
        }
    }

    private boolean readBatch(Patience patience) {
        try {
            return deliver(log.read(stream, next, BATCH, 0));
        } catch (TamaracktrackException failure) {
            if (!patience.another()) {
                throw failure;
            }
            return false;
        }
    }

    private boolean deliver(LogClient.Batch batch) {
        if (batch.firstOffset() > next) {
            onGap.accept(batch.firstOffset());
        }
        batch.undecodable().forEach(onUndecodable::accept);
        batch.records().forEach(onRecord);
        long last = batch.records().stream().mapToLong(LogRecord::offset).max().orElse(-1);
        long undecodable = batch.undecodable().stream().mapToLong(Long::longValue).max().orElse(-1);
        next = Math.max(Math.max(next, batch.firstOffset()), Math.max(last, undecodable) + 1);
        return next >= batch.nextOffset();
    }
}
