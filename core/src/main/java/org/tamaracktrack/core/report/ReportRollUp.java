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
 * Sums the counter records of every process, in offset order.
 *
 * <p>Counters are cumulative, so of one process only the record with the highest sequence counts.
 * When a process ends, its counters move into one sum, and a marker without counters stays for a
 * day.
 */
public final class ReportRollUp {
    /** A process is missing when it was silent this long while others reported. */
    public static final long DEFAULT_SILENT_MILLIS = 180_000;

    private static final long FORGET_MILLIS = 86_400_000;

    /** Time without any record counts as this much at most: the log may have been out. */
    private static final long LONGEST_STEP_MILLIS = 10_000;

    private final long silentMillis;
    private final Map<IncarnationId, Held> held = new HashMap<>();
    private final Map<String, Long> ended = new TreeMap<>();
    private final TreeSet<IncarnationId> missingForGood = new TreeSet<>();
    private Optional<Long> gapFrom = Optional.empty();
    private boolean recordsLost;
    private OptionalLong fromMillis = OptionalLong.empty();
    private OptionalLong lastAppendedMillis = OptionalLong.empty();
    private long nextOffset;
    private long activeMillis;

    /** The best record of one process. */
    private record Held(CountersPublished best, long firstOffset, long seenActiveMillis) {}

    private ReportRollUp(long silentMillis) {
        this.silentMillis = silentMillis;
    }

    /**
     * Returns a roll-up that has seen nothing.
     *
     * @param silentMillis a process is missing when it was silent this long while others reported
     * @return the roll-up
     */
    public static ReportRollUp empty(long silentMillis) {
        return new ReportRollUp(silentMillis);
    }

    /**
     * Records from the next offset on have expired: sums need a snapshot from now on.
     *
     * @param firstOffset the oldest record there still is
     */
    public void onGap(long firstOffset) {
        gapFrom = Optional.of(firstOffset);
    }

    /**
     * Takes the next record of the reports stream in.
     *
     * @param record the record
     */
    public void handle(LogRecord record) {
        Objects.requireNonNull(record, "record is null");
        advance(record.appendedAtMillis());
        nextOffset = record.offset() + 1;
        if (record.entry() instanceof CountersPublished counters) {
            count(counters, record.offset());
        } else if (record.entry() instanceof ReportSnapshot snapshot) {
            restore(snapshot);
        }
        forget();
    }

    private void advance(long appendedAtMillis) {
        if (fromMillis.isEmpty()) {
            fromMillis = OptionalLong.of(appendedAtMillis);
        }
        long stepMillis = appendedAtMillis - lastAppendedMillis.orElse(appendedAtMillis);
        activeMillis += Math.max(0, Math.min(stepMillis, LONGEST_STEP_MILLIS));
        lastAppendedMillis = OptionalLong.of(appendedAtMillis);
    }

    // An append may be written twice, or reach the log after a later one. Added up, a request would
    // count twice; but the counters are cumulative, so keeping the highest sequence only is exact.
    // Nothing counts after a process's last record: its counters are in the sum already.
    private void count(CountersPublished counters, long offset) {
        Held before = held.get(counters.incarnation());
        if (before == null && gapFrom.isEmpty() && !recordsLost) {
            fromMillis =
                    OptionalLong.of(
                            Math.min(
                                    fromMillis.orElse(Long.MAX_VALUE), counters.startedAtMillis()));
        }
        if (before == null) {
            held.put(counters.incarnation(), new Held(counters, offset, activeMillis));
        } else if (counts(before.best(), counters)) {
            held.put(
                    counters.incarnation(), new Held(counters, before.firstOffset(), activeMillis));
        }
        if (gapFrom.isEmpty()) {
            endIfLast(counters.incarnation());
        }
    }

    private static boolean counts(CountersPublished before, CountersPublished after) {
        return !before.last() && after.sequence() > before.sequence();
    }

    private void endIfLast(IncarnationId incarnation) {
        Held last = held.get(incarnation);
        if (last.best().last() && !last.best().counters().isEmpty()) {
            end(incarnation, last);
        }
    }

    private void end(IncarnationId incarnation, Held last) {
        last.best().counters().forEach((name, value) -> ended.merge(name, value, Long::sum));
        held.put(
                incarnation,
                new Held(marker(last.best()), last.firstOffset(), last.seenActiveMillis()));
    }

    private static CountersPublished marker(CountersPublished last) {
        return new CountersPublished(
                last.incarnation(),
                last.source(),
                last.sequence(),
                last.startedAtMillis(),
                last.takenAtMillis(),
                true,
                Map.of());
    }

    // A crashed process never sends its last record. Held for good, its counters would pile up; a
    // day on they join the sum, the process stays named as missing, and the marker keeps a record
    // that arrives after all from counting twice.
    private void forget() {
        if (gapFrom.isPresent()) {
            return;
        }
        List<IncarnationId> old =
                held.entrySet().stream()
                        .filter(e -> activeMillis - e.getValue().seenActiveMillis() > FORGET_MILLIS)
                        .map(Map.Entry::getKey)
                        .toList();
        old.forEach(this::forget);
    }

    private void forget(IncarnationId incarnation) {
        Held last = held.get(incarnation);
        if (last.best().last()) {
            held.remove(incarnation);
            return;
        }
        missingForGood.add(incarnation);
        end(incarnation, new Held(last.best(), last.firstOffset(), activeMillis));
    }

    // Only a reader that missed records needs a snapshot; one that leaves records uncovered between
    // its end and the oldest record read would lose the processes that ended in between.
    private void restore(ReportSnapshot snapshot) {
        if (gapFrom.isEmpty() || snapshot.upTo() < gapFrom.get()) {
            return;
        }
        Map<IncarnationId, Held> own = new HashMap<>(held);
        held.clear();
        ended.clear();
        ended.putAll(snapshot.ended());
        missingForGood.clear();
        missingForGood.addAll(snapshot.missing());
        snapshot.live()
                .forEach(live -> held.put(live.incarnation(), new Held(live, 0, activeMillis)));
        own.forEach((incarnation, mine) -> merge(incarnation, mine, snapshot.upTo()));
        fromMillis = OptionalLong.of(snapshot.fromMillis());
        gapFrom = Optional.empty();
        recordsLost = false;
        List.copyOf(held.keySet()).forEach(this::endIfLast);
    }

    // Records read before the snapshot's end are in it already; a process that the snapshot does
    // not
    // name although it reported by then was summed and forgotten.
    private void merge(IncarnationId incarnation, Held mine, long upTo) {
        Held covered = held.get(incarnation);
        boolean newProcess = covered == null && mine.firstOffset() >= upTo;
        if (newProcess || covered != null && counts(covered.best(), mine.best())) {
            held.put(incarnation, mine);
        }
    }

    /**
     * Gives up waiting for a snapshot after a gap: the span starts at the oldest record read, and
     * the report says that records were lost.
     */
    public void startAnew() {
        if (gapFrom.isPresent()) {
            gapFrom = Optional.empty();
            recordsLost = true;
            List.copyOf(held.keySet()).forEach(this::endIfLast);
        }
    }

    /**
     * Returns whether records were missed and no snapshot has made up for them yet.
     *
     * @return true when a snapshot is needed
     */
    public boolean needsSnapshot() {
        return gapFrom.isPresent();
    }

    /**
     * Returns a snapshot of everything taken in, so that older records may expire.
     *
     * @return the snapshot; empty while this roll-up itself needs one
     */
    public Optional<ReportSnapshot> snapshot() {
        if (needsSnapshot()) {
            return Optional.empty();
        }
        List<CountersPublished> live =
                held.values().stream()
                        .map(Held::best)
                        .sorted(Comparator.comparing(CountersPublished::incarnation))
                        .toList();
        return Optional.of(
                new ReportSnapshot(
                        nextOffset,
                        fromMillis.orElse(0),
                        ended,
                        live,
                        List.copyOf(missingForGood)));
    }

    /**
     * Returns how many processes are held, those that ended within a day included.
     *
     * @return how many
     */
    public int processes() {
        return held.size();
    }

    /**
     * Returns the report.
     *
     * @param logNowMillis the time by the log's clock
     * @return the report
     */
    public Report report(long logNowMillis) {
        Map<String, Long> sums = new TreeMap<>(ended);
        held.values().stream()
                .flatMap(one -> one.best().counters().entrySet().stream())
                .forEach(counter -> sums.merge(counter.getKey(), counter.getValue(), Long::sum));
        return new Report(
                sums,
                fromMillis.orElse(0),
                completeTo(logNowMillis),
                recordsLost || needsSnapshot(),
                missing(logNowMillis));
    }

    private OptionalLong completeTo(long logNowMillis) {
        OptionalLong live =
                held.values().stream()
                        .filter(one -> !one.best().last() && !silent(one, logNowMillis))
                        .mapToLong(one -> one.best().takenAtMillis())
                        .min();
        return live.isPresent()
                ? live
                : held.values().stream().mapToLong(one -> one.best().takenAtMillis()).max();
    }

    private List<Report.Missing> missing(long logNowMillis) {
        List<Report.Missing> missing = new ArrayList<>();
        missingForGood.forEach(
                incarnation -> missing.add(new Report.Missing(incarnation, OptionalLong.empty())));
        held.values().stream()
                .filter(one -> !one.best().last() && silent(one, logNowMillis))
                .map(Held::best)
                .sorted(Comparator.comparing(CountersPublished::incarnation))
                .map(
                        best ->
                                new Report.Missing(
                                        best.incarnation(), OptionalLong.of(best.takenAtMillis())))
                .forEach(missing::add);
        return missing;
    }

    private boolean silent(Held one, long logNowMillis) {
        long sinceLastRecord = Math.max(0, logNowMillis - lastAppendedMillis.orElse(logNowMillis));
        return activeMillis - one.seenActiveMillis() + sinceLastRecord > silentMillis;
    }
}
