package org.tamaracktrack.daemon.configuration;

import java.util.ArrayList;
import java.util.List;
import org.tamaracktrack.core.error.ErrorCode;
import org.tamaracktrack.core.error.TamaracktrackException;
import org.tamaracktrack.core.log.LogEntry;
import org.tamaracktrack.core.log.LogRecord;
import org.tamaracktrack.core.log.LogStream;
import org.tamaracktrack.link.log.LogClient;

/** An in-memory configuration stream that can be made unavailable and whose records can expire. */
final class ExpiringLog implements LogClient {
    private final List<LogRecord> records = new ArrayList<>();
    private long firstOffset;
    private boolean unavailable;

    synchronized void setUnavailable(boolean value) {
        unavailable = value;
        notifyAll();
    }

    synchronized void expireBefore(long offset) {
        firstOffset = offset;
        notifyAll();
    }

    synchronized List<LogRecord> records() {
        return List.copyOf(records);
    }

    @Override
    public synchronized Appended append(LogStream stream, LogEntry entry) {
        checkReachable();
        records.add(LogRecord.of(records.size(), records.size(), entry));
        notifyAll();
        return new Appended(records.size() - 1, records.size() - 1);
    }

    @Override
    public synchronized Batch read(LogStream stream, long from, int maximum, long waitMillis) {
        checkReachable();
        if (records.size() <= from) {
            try {
                wait(waitMillis);
            } catch (InterruptedException closed) {
                Thread.currentThread().interrupt();
            }
            checkReachable();
        }
        List<LogRecord> found =
                records.stream().skip(Math.max(from, firstOffset)).limit(maximum).toList();
        return new Batch(firstOffset, records.size(), found, List.of());
    }

    private void checkReachable() {
        if (unavailable) {
            throw TamaracktrackException.of(ErrorCode.LOG_UNAVAILABLE, "the log is unavailable");
        }
    }
}
