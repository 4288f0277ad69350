package org.tamaracktrack.daemon.target;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import org.tamaracktrack.core.error.ErrorCode;
import org.tamaracktrack.core.error.TamaracktrackException;
import org.tamaracktrack.core.log.LogEntry;
import org.tamaracktrack.core.log.LogRecord;
import org.tamaracktrack.core.log.LogStream;
import org.tamaracktrack.link.log.LogClient;

/** A log in memory that a test can make unavailable. */
final class FakeLogClient implements LogClient {
    private final Map<LogStream, List<LogRecord>> streams = new EnumMap<>(LogStream.class);
    private boolean unavailable;

    synchronized void unavailable(boolean newUnavailable) {
        unavailable = newUnavailable;
        notifyAll();
    }

    private List<LogRecord> records(LogStream stream) {
        if (unavailable) {
            throw TamaracktrackException.of(ErrorCode.LOG_UNAVAILABLE, "outage");
        }
        return streams.computeIfAbsent(stream, unused -> new ArrayList<>());
    }

    @Override
    public synchronized Appended append(LogStream stream, LogEntry entry) {
        List<LogRecord> records = records(stream);
        records.add(LogRecord.of(records.size(), System.currentTimeMillis(), entry));
        notifyAll();
        return new Appended(records.size() - 1L, System.currentTimeMillis());
    }

    @Override
    public synchronized Batch read(LogStream stream, long from, int maximum, long waitMillis) {
        try {
            if (records(stream).size() <= from) {
                wait(waitMillis);
            }
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
        List<LogRecord> records = records(stream);
        return new Batch(
                0, records.size(), records.stream().skip(from).limit(maximum).toList(), List.of());
    }

    synchronized <T extends LogEntry> List<T> entries(LogStream stream, Class<T> type) {
        return records(stream).stream()
                .map(LogRecord::entry)
                .filter(type::isInstance)
                .map(type::cast)
                .toList();
    }
}
