package org.tamaracktrack.core.report;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import net.jqwik.api.ForAll;
import net.jqwik.api.Group;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.tamaracktrack.core.id.IncarnationId;
import org.tamaracktrack.core.log.LogEntry.CountersPublished;
import org.tamaracktrack.core.log.LogEntry.ReportSnapshot;
import org.tamaracktrack.core.log.LogRecord;

class ReportRollUpTest {
    private static final long MISSING_AFTER_MILLIS = 60_000;
    private static final String COUNTER = "requests|north|approval|interactive|in_class";

    private static ReportRollUp read(List<LogRecord> log) {
        ReportRollUp rollUp = ReportRollUp.empty(MISSING_AFTER_MILLIS);
        log.forEach(rollUp::handle);
        return rollUp;
    }

    private static CountersPublished counters(
            String process, long sequence, long value, boolean last) {
        return new CountersPublished(
                IncarnationId.of(process),
                "entry",
                sequence,
                0,
                sequence * 1_000,
                last,
                Map.of(COUNTER, value));
    }

    @Group
    @Nested
    class Sums {

        // Guards against usage that is counted twice or left out. Records of up to three concurrent
        // processes are lost, duplicated and delayed, the log is unavailable at times, and
        // processes
        // crash and end. If records held deltas, a duplicate would count one request as two.
        @Property(seed = "21", tries = 300)
        void shouldEqualTheNewestRecordsWhenRecordsAreLostDuplicatedAndDelayed(
                @ForAll @LongRange(max = 1_000_000) long seed,
                @ForAll @IntRange(min = 1, max = 150) int steps) {
            ReportScenario scenario = ReportScenario.run(seed, steps);

            Report report = read(scenario.log()).report(scenario.nowMillis());

            assertThat(report.counters()).isEqualTo(scenario.expectedSums());
        }

        // A process ends, and its final record is appended twice because the response to the first
        // append was lost. The second copy arrives after a snapshot that already includes the
        // process in its sum.
        @Test
        void shouldNotCountTwiceWhenALastRecordArrivesAgainAfterASnapshot() {
            LogRecord last = LogRecord.of(5, 0, counters("a", 3, 10, true));
            ReportSnapshot snapshot = read(List.of(last)).snapshot().orElseThrow();
            ReportRollUp newReader = ReportRollUp.empty(MISSING_AFTER_MILLIS);
            newReader.handleGap(6);
            newReader.handle(LogRecord.of(6, 0, snapshot));

            newReader.handle(LogRecord.of(7, 0, last.entry()));

            assertThat(newReader.report(0).counters()).containsExactly(COUNTER, 10L);
        }
    }

    @Group
    @Nested
    class Snapshots {

        // Old records have expired, so a reader starts in the middle of the stream and may read
        // records that the snapshot covers before the snapshot itself. Adding them to the
        // snapshot's sums would count them twice; ignoring uncovered ones would silently lose
        // requests.
        @Property(seed = "22", tries = 300)
        void shouldRestoreAllSumsFromASnapshotWhenRecordsHaveExpired(
                @ForAll @LongRange(max = 1_000_000) long seed,
                @ForAll @IntRange(min = 20, max = 150) int steps,
                @ForAll @IntRange(max = 99) int expiredPercent,
                @ForAll @IntRange(max = 100) int coveredPercent) {
            ReportScenario scenario = ReportScenario.run(seed, steps);
            int expired = scenario.log().size() * expiredPercent / 100;
            int covered = expired + (scenario.log().size() - expired) * coveredPercent / 100;
            List<LogRecord> log = withSnapshot(scenario.log(), covered);
            ReportRollUp newReader = ReportRollUp.empty(MISSING_AFTER_MILLIS);
            newReader.handleGap(expired);

            log.stream().skip(expired).forEach(newReader::handle);

            assertThat(newReader.needsSnapshot()).isFalse();
            Report report = newReader.report(scenario.nowMillis());
            assertThat(report.counters()).isEqualTo(scenario.expectedSums());
            assertThat(report.recordsLost()).isFalse();
        }

        @Property(seed = "23", tries = 200)
        void shouldKeepAllSumsWhenASnapshotIsBuiltOnAnother(
                @ForAll @LongRange(max = 1_000_000) long seed,
                @ForAll @IntRange(min = 20, max = 120) int steps) {
            ReportScenario scenario = ReportScenario.run(seed, steps);
            int third = scenario.log().size() / 3;
            List<LogRecord> log = scenario.log();
            ReportRollUp first = read(log.subList(0, third));
            ReportRollUp second = ReportRollUp.empty(MISSING_AFTER_MILLIS);
            second.handleGap(third);
            second.handle(LogRecord.of(third, 0, first.snapshot().orElseThrow()));
            log.subList(third, 2 * third).forEach(second::handle);
            ReportRollUp last = ReportRollUp.empty(MISSING_AFTER_MILLIS);
            last.handleGap(2L * third);
            last.handle(LogRecord.of(2L * third, 0, second.snapshot().orElseThrow()));

            log.subList(2 * third, log.size()).forEach(last::handle);

            assertThat(last.report(scenario.nowMillis()).counters())
                    .isEqualTo(scenario.expectedSums());
        }

        // A process ended more than a day before the snapshot, which no longer lists it. Its final
        // record has not expired and is read first, but its counters are in the snapshot's sum.
        @Test
        void shouldNotCountAProcessTwiceWhenTheSnapshotNoLongerNamesIt() {
            ReportRollUp newReader = ReportRollUp.empty(MISSING_AFTER_MILLIS);
            newReader.handleGap(10);
            newReader.handle(LogRecord.of(10, 0, counters("a", 3, 10, true)));

            newReader.handle(
                    LogRecord.of(
                            12,
                            0,
                            new ReportSnapshot(11, 0, Map.of(COUNTER, 10L), List.of(), List.of())));

            assertThat(newReader.report(0).counters()).containsExactly(COUNTER, 10L);
        }

        @Test
        void shouldReportLostRecordsWhenTheSnapshotEndsBeforeTheOldestRecord() {
            ReportRollUp newReader = ReportRollUp.empty(MISSING_AFTER_MILLIS);
            newReader.handleGap(10);
            newReader.handle(
                    LogRecord.of(10, 0, new ReportSnapshot(9, 0, Map.of(), List.of(), List.of())));

            assertThat(newReader.needsSnapshot()).isTrue();
            assertThat(newReader.report(0).isComplete()).isFalse();
            newReader.continueWithoutSnapshot();
            assertThat(newReader.snapshot()).isPresent();
            assertThat(newReader.report(0).recordsLost()).isTrue();
        }

        private List<LogRecord> withSnapshot(List<LogRecord> log, int covered) {
            ReportSnapshot snapshot = read(log.subList(0, covered)).snapshot().orElseThrow();
            List<LogRecord> all = new ArrayList<>(log);
            all.add(
                    LogRecord.of(
                            log.size(),
                            log.get(log.size() - 1).appendedAtMillis(),
                            new ReportSnapshot(
                                    covered,
                                    snapshot.fromMillis(),
                                    snapshot.ended(),
                                    snapshot.live(),
                                    snapshot.missing())));
            return all;
        }
    }

    @Group
    @Nested
    class MissingProcesses {

        // A process crashes between two records. The sums lack what it served after the last one,
        // so
        // the report must list it as missing. A process that ended with a final record is not
        // missing. Processes that still run are listed too, as they are silent for too long here.
        @Property(seed = "24", tries = 200)
        void shouldReportCrashedProcessesAsMissingWhenTheyStaySilent(
                @ForAll @LongRange(max = 1_000_000) long seed,
                @ForAll @IntRange(min = 1, max = 100) int steps) {
            ReportScenario scenario = ReportScenario.run(seed, steps);
            ReportRollUp rollUp = read(scenario.log());
            long laterMillis = scenario.nowMillis() + 2 * MISSING_AFTER_MILLIS;

            List<IncarnationId> reportedMissing =
                    rollUp.report(laterMillis).missing().stream()
                            .map(Report.MissingProcess::incarnation)
                            .toList();

            assertThat(reportedMissing).containsAtLeastElementsIn(scenario.crashedProcesses());
        }

        @Test
        void shouldReportNoMissingProcessWhenOnlyTheLogWasUnavailable() {
            ReportRollUp rollUp =
                    read(
                            List.of(
                                    LogRecord.of(0, 0, counters("a", 0, 1, false)),
                                    LogRecord.of(1, 0, counters("b", 0, 1, false)),
                                    LogRecord.of(2, 900_000, counters("a", 1, 2, false))));

            Report report = rollUp.report(900_000);

            assertThat(report.missing()).isEmpty();
        }

        @Test
        void shouldReportMissingAndCountOnceWhenAnExpiredProcessReportsAgain() {
            List<LogRecord> log = new ArrayList<>();
            log.add(LogRecord.of(0, 0, counters("a", 0, 7, false)));
            for (int offset = 1; offset <= 10_000; offset++) {
                log.add(LogRecord.of(offset, offset * 10_000L, counters("b", offset, 1, false)));
            }
            log.add(LogRecord.of(10_001, 100_000_000, counters("a", 1, 9, false)));

            Report report = read(log).report(100_000_000);

            assertThat(report.counters()).containsExactly(COUNTER, 8L);
            assertThat(
                            new TreeSet<>(
                                    report.missing().stream()
                                            .map(Report.MissingProcess::incarnation)
                                            .toList()))
                    .containsExactly(IncarnationId.of("a"));
        }

        @Test
        void shouldBeCompleteUpToTheEarliestOfTheNewestRecordsWhenAllReport() {
            ReportRollUp rollUp =
                    read(
                            List.of(
                                    LogRecord.of(0, 0, counters("a", 5, 1, false)),
                                    LogRecord.of(1, 0, counters("b", 9, 1, false))));

            Report report = rollUp.report(0);

            assertThat(report.completeToMillis().getAsLong()).isEqualTo(5_000);
            assertThat(report.isComplete()).isTrue();
        }
    }
}
