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

/** A log in memory that fails as it is told, one fault for each append. */
public final class FakeLog implements LogClient {
    /** What happens to one append. */
    public enum Fault {
        NONE,
        NOT_WRITTEN,
        ANSWER_LOST,
        /** The answer is lost and the record written only after the next read. */
        WRITTEN_LATE,
        OTHER_COMES_FIRST
    }

    private final Map<LogStream, List<LogRecord>> streams = new EnumMap<>(LogStream.class);
    private final Deque<Fault> faults = new ArrayDeque<>();
    private final Deque<LogEntry> late = new ArrayDeque<>();
    private Runnable other = () -> {};
    private boolean readable = true;
    private long firstOffset;
    private long passedMillis;

    public FakeLog fail(List<Fault> next) {
        faults.addAll(next);
        return this;
    }

    public void otherOperator(Runnable action) {
        other = action;
    }

    public void setReadable(boolean value) {
        readable = value;
    }

    public void pass(long millis) {
        passedMillis += millis;
    }

    public void expireBefore(long offset) {
        firstOffset = offset;
    }

    public List<LogRecord> records(LogStream stream) {
        return streams.computeIfAbsent(stream, key -> new ArrayList<>());
    }

    public Appended write(LogStream stream, LogEntry entry) {
        List<LogRecord> records = records(stream);
        long now = 1_000L + records.size() + passedMillis;
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
                late.add(entry);
                throw TamaracktrackException.of(ErrorCode.LOG_OUTCOME_UNKNOWN, "no answer");
            }
            case OTHER_COMES_FIRST -> other.run();
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
            throw TamaracktrackException.of(ErrorCode.LOG_UNAVAILABLE, "out");
        }
        List<LogRecord> records = List.copyOf(records(stream));
        while (!late.isEmpty()) {
            write(stream, late.removeFirst());
        }
        long start = Math.max(from, firstOffset);
        List<LogRecord> found =
                records.stream().filter(record -> record.offset() >= start).limit(maximum).toList();
        return new Batch(firstOffset, records.size(), found, List.of());
    }
}
