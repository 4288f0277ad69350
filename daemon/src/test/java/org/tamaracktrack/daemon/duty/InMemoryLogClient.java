package org.tamaracktrack.daemon.duty;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import org.tamaracktrack.core.error.ErrorCode;
import org.tamaracktrack.core.error.TamaracktrackException;
import org.tamaracktrack.core.log.LogEntry;
import org.tamaracktrack.core.log.LogRecord;
import org.tamaracktrack.core.log.LogStream;
import org.tamaracktrack.link.log.LogClient;

/** An in-memory log that can be made unavailable and lets a test wait for a record. */
public final class InMemoryLogClient implements LogClient {
    private final Map<LogStream, List<LogRecord>> streams = new EnumMap<>(LogStream.class);
    private boolean unavailable;

    public synchronized void setUnavailable(boolean newValue) {
        unavailable = newValue;
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
        long nowMillis = System.currentTimeMillis();
        records.add(LogRecord.of(records.size(), nowMillis, entry));
        notifyAll();
        return new Appended(records.size() - 1L, nowMillis);
    }

    @Override
    public synchronized Batch read(LogStream stream, long from, int maximum, long waitMillis) {
        if (records(stream).size() <= from) {
            pause(waitMillis);
        }
        List<LogRecord> records = records(stream);
        return new Batch(
                0, records.size(), records.stream().skip(from).limit(maximum).toList(), List.of());
    }

    private void pause(long millis) {
        try {
            wait(Math.max(1, millis));
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * Waits for a record that satisfies the condition, and returns the last one. Fails after 10 s.
     */
    public synchronized <T extends LogEntry> T await(
            LogStream stream, Class<T> type, Predicate<T> wanted) {
        long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(10);
        while (System.nanoTime() - deadline < 0) {
            List<T> found = entries(stream, type).stream().filter(wanted).toList();
            if (!found.isEmpty()) {
                return found.get(found.size() - 1);
            }
            pause(100);
        }
        throw new AssertionError("no matching record within 10 s: " + type.getSimpleName());
    }

    public synchronized <T extends LogEntry> List<T> entries(LogStream stream, Class<T> type) {
        return streams.getOrDefault(stream, List.of()).stream()
                .map(LogRecord::entry)
                .filter(type::isInstance)
                .map(type::cast)
                .toList();
    }
}
