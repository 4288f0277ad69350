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

/** The log in memory, which can be out and can lose answers. */
final class MemoryLog implements LogClient {
    private final Map<LogStream, List<LogRecord>> streams = new EnumMap<>(LogStream.class);
    private boolean out;
    private int answersToLose;

    synchronized void out(boolean newOut) {
        out = newOut;
        notifyAll();
    }

    synchronized void loseAnswers(int count) {
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
        failWhenOut();
        List<LogRecord> records = records(stream);
        LogRecord record = LogRecord.of(records.size(), System.currentTimeMillis(), entry);
        records.add(record);
        notifyAll();
        if (answersToLose > 0) {
            answersToLose--;
            throw TamaracktrackException.of(ErrorCode.LOG_OUTCOME_UNKNOWN, "answer lost");
        }
        return new Appended(record.offset(), record.appendedAtMillis());
    }

    private void failWhenOut() {
        if (out) {
            throw TamaracktrackException.of(ErrorCode.LOG_UNAVAILABLE, "outage");
        }
    }

    @Override
    public synchronized Batch read(LogStream stream, long from, int maximum, long waitMillis) {
        List<LogRecord> records = records(stream);
        try {
            failWhenOut();
            if (records.size() <= from) {
                wait(Math.max(1, waitMillis));
            }
            failWhenOut();
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
        List<LogRecord> found =
                records.stream().skip(from).limit(maximum).collect(Collectors.toList());
        return new Batch(0, records.size(), found, List.of());
    }
}
