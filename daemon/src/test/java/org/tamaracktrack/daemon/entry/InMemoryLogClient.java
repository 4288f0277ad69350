package org.tamaracktrack.daemon.entry;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import org.tamaracktrack.core.error.ErrorCode;
import org.tamaracktrack.core.error.TamaracktrackException;
import org.tamaracktrack.core.log.LogEntry;
import org.tamaracktrack.core.log.LogRecord;
import org.tamaracktrack.core.log.LogStream;
import org.tamaracktrack.link.log.LogClient;

/** An in-memory log that a test can make unavailable or let lose the answers to appends. */
final class InMemoryLogClient implements LogClient {
    private final Map<LogStream, List<LogRecord>> streams = new EnumMap<>(LogStream.class);
    private boolean unavailable;
    private int answersToLose;

    synchronized void setUnavailable(boolean newUnavailable) {
        unavailable = newUnavailable;
        notifyAll();
    }

    synchronized void loseNextAnswers(int count) {
        answersToLose = count;
    }

    synchronized List<LogEntry> entries(LogStream stream) {
        return records(stream).stream().map(LogRecord::entry).collect(Collectors.toList());
    }

    private List<LogRecord> records(LogStream stream) {
        return streams.computeIfAbsent(stream, key -> new ArrayList<>());
    }

    @Override
    public synchronized Appended append(LogStream stream, LogEntry entry) {
        failWhenUnavailable();
        List<LogRecord> records = records(stream);
        LogRecord record = LogRecord.of(records.size(), System.currentTimeMillis(), entry);
        records.add(record);
        notifyAll();
        if (answersToLose > 0) {
            answersToLose--;
            throw TamaracktrackException.of(
                    ErrorCode.LOG_OUTCOME_UNKNOWN,
                    "the answer to the append is dropped by the test");
        }
        return new Appended(record.offset(), record.appendedAtMillis());
    }

    private void failWhenUnavailable() {
        if (unavailable) {
            throw TamaracktrackException.of(
                    ErrorCode.LOG_UNAVAILABLE, "the log is set unavailable by the test");
        }
    }

    @Override
    public synchronized Batch read(LogStream stream, long from, int maximum, long waitMillis) {
        List<LogRecord> records = records(stream);
        try {
            failWhenUnavailable();
            if (records.size() <= from) {
                wait(Math.max(1, waitMillis));
            }
            failWhenUnavailable();
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
        List<LogRecord> found =
                records.stream().skip(from).limit(maximum).collect(Collectors.toList());
        return new Batch(0, records.size(), found, List.of());
    }
}
