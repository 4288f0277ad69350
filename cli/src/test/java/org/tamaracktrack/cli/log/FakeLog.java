package org.tamaracktrack.cli.log;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import org.tamaracktrack.core.error.ErrorCode;
import org.tamaracktrack.core.error.TamaracktrackException;
import org.tamaracktrack.core.log.LogEntry;
import org.tamaracktrack.core.log.LogRecord;
import org.tamaracktrack.core.log.LogStream;
import org.tamaracktrack.link.log.LogClient;

/** An in-memory log that injects faults into appends, in the order in which they were enqueued. */
public final class FakeLog implements LogClient {
    /** The fault that is injected into one append. */
    public enum Fault {
        NONE,
        NOT_WRITTEN,
        ANSWER_LOST,
        /** The response is lost, and the record is written only after the next read. */
        WRITTEN_LATE,
        OTHER_APPENDED_FIRST
    }

    private final Map<LogStream, List<LogRecord>> streams = new EnumMap<>(LogStream.class);
    private final Deque<Fault> faults = new ArrayDeque<>();
    private final Deque<LogEntry> lateEntries = new ArrayDeque<>();
    private Runnable otherOperatorAction = () -> {};
    private boolean readable = true;
    private long firstOffset;
    private long elapsedMillis;

    public FakeLog enqueueFaults(List<Fault> next) {
        faults.addAll(next);
        return this;
    }

    public void setOtherOperatorAction(Runnable action) {
        otherOperatorAction = action;
    }

    public void setReadable(boolean value) {
        readable = value;
    }

    public void advanceClock(long millis) {
        elapsedMillis += millis;
    }

    public void expireBefore(long offset) {
        firstOffset = offset;
    }

    public List<LogRecord> records(LogStream stream) {
        return streams.computeIfAbsent(stream, key -> new ArrayList<>());
    }

    public Appended write(LogStream stream, LogEntry entry) {
        List<LogRecord> records = records(stream);
        long now = 1_000L + records.size() + elapsedMillis;
        records.add(LogRecord.of(records.size(), now, entry));
        return new Appended(records.size() - 1, now);
    }

    @Override
    public Appended append(LogStream stream, LogEntry entry) {
        Fault fault = faults.isEmpty() ? Fault.NONE : faults.removeFirst();
        switch (fault) {
            case NOT_WRITTEN ->
                    throw TamaracktrackException.of(ErrorCode.LOG_UNAVAILABLE, "not written");
            case WRITTEN_LATE -> {
                lateEntries.add(entry);
                throw TamaracktrackException.of(ErrorCode.LOG_OUTCOME_UNKNOWN, "no answer");
            }
            case OTHER_APPENDED_FIRST -> otherOperatorAction.run();
            default -> {}
        }
        Appended appended = write(stream, entry);
        if (fault == Fault.ANSWER_LOST) {
            throw TamaracktrackException.of(ErrorCode.LOG_OUTCOME_UNKNOWN, "no answer");
        }
        return appended;
    }

    @Override
    public Batch read(LogStream stream, long from, int maximum, long waitMillis) {
        if (!readable) {
            throw TamaracktrackException.of(ErrorCode.LOG_UNAVAILABLE, "the log can't be read");
        }
        List<LogRecord> records = List.copyOf(records(stream));
        while (!lateEntries.isEmpty()) {
            write(stream, lateEntries.removeFirst());
        }
        long start = Math.max(from, firstOffset);
        List<LogRecord> found =
                records.stream().filter(record -> record.offset() >= start).limit(maximum).toList();
        return new Batch(firstOffset, records.size(), found, List.of());
    }
}
