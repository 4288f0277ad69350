package org.tamaracktrack.core.report;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.TreeMap;
import java.util.TreeSet;
import org.tamaracktrack.core.id.IncarnationId;
import org.tamaracktrack.core.log.LogEntry.CountersPublished;
import org.tamaracktrack.core.log.LogEntry.ReportSnapshot;
import org.tamaracktrack.core.log.LogRecord;

/**
 * Sums the counter records of all processes, read in offset order.
 *
 * <p>Counters are cumulative, so only the record with the highest sequence of each process is used.
 * When a process ends, its counters are added to one common sum, and a marker without counters is
 * kept for a day, so that a record that arrives late is not added again.
 */
public final class ReportRollUp {
    /** A process counts as missing after this time without a report while others reported. */
    public static final long DEFAULT_MISSING_AFTER_MILLIS = 180_000;

    private static final long PROCESS_RETENTION_MILLIS = 86_400_000;

    /**
     * Limits how much a gap between two records counts, since the log may have been unavailable.
     */
    private static final long MAXIMUM_STEP_MILLIS = 10_000;

    private final long missingAfterMillis;
    private final Map<IncarnationId, ProcessCounters> countersByProcess = new HashMap<>();
    private final Map<String, Long> endedSums = new TreeMap<>();
    private final TreeSet<IncarnationId> permanentlyMissing = new TreeSet<>();
    private Optional<Long> firstOffsetAfterGap = Optional.empty();
    private boolean recordsLost;
    private OptionalLong fromMillis = OptionalLong.empty();
    private OptionalLong lastAppendedMillis = OptionalLong.empty();
    private long nextOffset;
    private long activeMillis;

    /** The newest record of one process, by sequence. */
    private record ProcessCounters(
            CountersPublished newest, long firstOffset, long updatedAtActiveMillis) {}

    private ReportRollUp(long missingAfterMillis) {
        this.missingAfterMillis = missingAfterMillis;
    }

    /**
     * Returns a roll-up that has not read any record yet.
     *
     * @param missingAfterMillis the time without a report, while others reported, after which a
     *     process counts as missing
     * @return the roll-up
     */
    public static ReportRollUp empty(long missingAfterMillis) {
        return new ReportRollUp(missingAfterMillis);
    }

    /**
     * Handles the expiry of unread records. The sums are incomplete until a snapshot covers the
     * expired records.
     *
     * @param firstOffset the offset of the oldest record that the log still has
     */
    public void handleGap(long firstOffset) {
        firstOffsetAfterGap = Optional.of(firstOffset);
    }

    /**
     * Processes the next record of the reports stream.
     *
     * @param record the record
     */
    public void handle(LogRecord record) {
        Objects.requireNonNull(record, "record is null");
        advance(record.appendedAtMillis());
        nextOffset = record.offset() + 1;
        if (record.entry() instanceof CountersPublished counters) {
            addCounters(counters, record.offset());
        } else if (record.entry() instanceof ReportSnapshot snapshot) {
            restore(snapshot);
        }
        expireProcesses();
    }

    private void advance(long appendedAtMillis) {
        if (fromMillis.isEmpty()) {
            fromMillis = OptionalLong.of(appendedAtMillis);
        }
        long stepMillis = appendedAtMillis - lastAppendedMillis.orElse(appendedAtMillis);
        activeMillis += Math.max(0, Math.min(stepMillis, MAXIMUM_STEP_MILLIS));
        lastAppendedMillis = OptionalLong.of(appendedAtMillis);
    }

    // An append may be written twice, or reach the log after a later one. Adding records up would
    // count requests twice; since counters are cumulative, keeping only the highest sequence is
    // exact. Records after a process's final record are ignored: its counters are already summed.
    private void addCounters(CountersPublished counters, long offset) {
        ProcessCounters current = countersByProcess.get(counters.incarnation());
        if (current == null && firstOffsetAfterGap.isEmpty() && !recordsLost) {
            fromMillis =
                    OptionalLong.of(
                            Math.min(
                                    fromMillis.orElse(Long.MAX_VALUE), counters.startedAtMillis()));
        }
        if (current == null) {
            countersByProcess.put(
                    counters.incarnation(), new ProcessCounters(counters, offset, activeMillis));
        } else if (supersedes(current.newest(), counters)) {
            countersByProcess.put(
                    counters.incarnation(),
                    new ProcessCounters(counters, current.firstOffset(), activeMillis));
        }
        if (firstOffsetAfterGap.isEmpty()) {
            foldIfLast(counters.incarnation());
        }
    }

    private static boolean supersedes(CountersPublished current, CountersPublished candidate) {
        return !current.last() && candidate.sequence() > current.sequence();
    }

    private void foldIfLast(IncarnationId incarnation) {
        ProcessCounters process = countersByProcess.get(incarnation);
        if (process.newest().last() && !process.newest().counters().isEmpty()) {
            foldIntoEndedSums(incarnation, process);
        }
    }

    private void foldIntoEndedSums(IncarnationId incarnation, ProcessCounters process) {
        process.newest()
                .counters()
                .forEach((name, value) -> endedSums.merge(name, value, Long::sum));
        countersByProcess.put(
                incarnation,
                new ProcessCounters(
                        markerOf(process.newest()),
                        process.firstOffset(),
                        process.updatedAtActiveMillis()));
    }

    private static CountersPublished markerOf(CountersPublished last) {
        return new CountersPublished(
                last.incarnation(),
                last.source(),
                last.sequence(),
                last.startedAtMillis(),
                last.takenAtMillis(),
                true,
                Map.of());
    }

    // A crashed process never appends a final record, and keeping its counters forever would use
    // ever more memory. After a day they are added to the common sum, the process stays listed as
    // missing, and the marker prevents a late record of it from being counted twice.
    private void expireProcesses() {
        if (firstOffsetAfterGap.isPresent()) {
            return;
        }
        List<IncarnationId> expired =
                countersByProcess.entrySet().stream()
                        .filter(
                                entry ->
                                        activeMillis - entry.getValue().updatedAtActiveMillis()
                                                > PROCESS_RETENTION_MILLIS)
                        .map(Map.Entry::getKey)
                        .toList();
        expired.forEach(this::expireProcess);
    }

    private void expireProcess(IncarnationId incarnation) {
        ProcessCounters process = countersByProcess.get(incarnation);
        if (process.newest().last()) {
            countersByProcess.remove(incarnation);
            return;
        }
        permanentlyMissing.add(incarnation);
        foldIntoEndedSums(
                incarnation,
                new ProcessCounters(process.newest(), process.firstOffset(), activeMillis));
    }

    // Only a reader that missed records needs a snapshot. A snapshot that ends before the oldest
    // record read is not used: the processes that ended in between would be lost.
    private void restore(ReportSnapshot snapshot) {
        if (firstOffsetAfterGap.isEmpty() || snapshot.upTo() < firstOffsetAfterGap.get()) {
            return;
        }
        Map<IncarnationId, ProcessCounters> ownProcesses = new HashMap<>(countersByProcess);
        countersByProcess.clear();
        endedSums.clear();
        endedSums.putAll(snapshot.ended());
        permanentlyMissing.clear();
        permanentlyMissing.addAll(snapshot.missing());
        snapshot.live()
                .forEach(
                        live ->
                                countersByProcess.put(
                                        live.incarnation(),
                                        new ProcessCounters(live, 0, activeMillis)));
        ownProcesses.forEach(
                (incarnation, ownCounters) ->
                        mergeIntoSnapshot(incarnation, ownCounters, snapshot.upTo()));
        fromMillis = OptionalLong.of(snapshot.fromMillis());
        firstOffsetAfterGap = Optional.empty();
        recordsLost = false;
        List.copyOf(countersByProcess.keySet()).forEach(this::foldIfLast);
    }

    // Records before the snapshot's end are included in it. A process that reported by then but is
    // not in the snapshot has ended, and its counters are in the snapshot's sum.
    private void mergeIntoSnapshot(
            IncarnationId incarnation, ProcessCounters ownCounters, long upTo) {
        ProcessCounters snapshotCounters = countersByProcess.get(incarnation);
        boolean newProcess = snapshotCounters == null && ownCounters.firstOffset() >= upTo;
        if (newProcess
                || snapshotCounters != null
                        && supersedes(snapshotCounters.newest(), ownCounters.newest())) {
            countersByProcess.put(incarnation, ownCounters);
        }
    }

    /**
     * Stops waiting for a snapshot after a gap. The span starts at the oldest record read, and the
     * report states that records were lost.
     */
    public void continueWithoutSnapshot() {
        if (firstOffsetAfterGap.isPresent()) {
            firstOffsetAfterGap = Optional.empty();
            recordsLost = true;
            List.copyOf(countersByProcess.keySet()).forEach(this::foldIfLast);
        }
    }

    /**
     * Returns whether records expired unread and no snapshot that covers them has been read yet.
     *
     * @return true when a snapshot is needed
     */
    public boolean needsSnapshot() {
        return firstOffsetAfterGap.isPresent();
    }

    /**
     * Returns a snapshot of every record read, so that older records may expire.
     *
     * @return the snapshot; empty while this roll-up itself needs one
     */
    public Optional<ReportSnapshot> snapshot() {
        if (needsSnapshot()) {
            return Optional.empty();
        }
        List<CountersPublished> live =
                countersByProcess.values().stream()
                        .map(ProcessCounters::newest)
                        .sorted(Comparator.comparing(CountersPublished::incarnation))
                        .toList();
        return Optional.of(
                new ReportSnapshot(
                        nextOffset,
                        fromMillis.orElse(0),
                        endedSums,
                        live,
                        List.copyOf(permanentlyMissing)));
    }

    /**
     * Returns the number of processes kept, including those that ended within a day.
     *
     * @return the number of processes
     */
    public int processCount() {
        return countersByProcess.size();
    }

    /**
     * Returns the report on the records read so far.
     *
     * @param logNowMillis the current time by the log's clock, in milliseconds since 1970
     * @return the report
     */
    public Report report(long logNowMillis) {
        Map<String, Long> sums = new TreeMap<>(endedSums);
        countersByProcess.values().stream()
                .flatMap(process -> process.newest().counters().entrySet().stream())
                .forEach(counter -> sums.merge(counter.getKey(), counter.getValue(), Long::sum));
        return new Report(
                sums,
                fromMillis.orElse(0),
                completeToMillis(logNowMillis),
                recordsLost || needsSnapshot(),
                missingProcesses(logNowMillis));
    }

    private OptionalLong completeToMillis(long logNowMillis) {
        OptionalLong live =
                countersByProcess.values().stream()
                        .filter(
                                process ->
                                        !process.newest().last()
                                                && !isSilent(process, logNowMillis))
                        .mapToLong(process -> process.newest().takenAtMillis())
                        .min();
        return live.isPresent()
                ? live
                : countersByProcess.values().stream()
                        .mapToLong(process -> process.newest().takenAtMillis())
                        .max();
    }

    private List<Report.MissingProcess> missingProcesses(long logNowMillis) {
        List<Report.MissingProcess> missing = new ArrayList<>();
        permanentlyMissing.forEach(
                incarnation ->
                        missing.add(new Report.MissingProcess(incarnation, OptionalLong.empty())));
        countersByProcess.values().stream()
                .filter(process -> !process.newest().last() && isSilent(process, logNowMillis))
                .map(ProcessCounters::newest)
                .sorted(Comparator.comparing(CountersPublished::incarnation))
                .map(
                        newest ->
                                new Report.MissingProcess(
                                        newest.incarnation(),
                                        OptionalLong.of(newest.takenAtMillis())))
                .forEach(missing::add);
        return missing;
    }

    private boolean isSilent(ProcessCounters process, long logNowMillis) {
        long sinceLastRecord = Math.max(0, logNowMillis - lastAppendedMillis.orElse(logNowMillis));
        return activeMillis - process.updatedAtActiveMillis() + sinceLastRecord
                > missingAfterMillis;
    }
}
