package org.tamaracktrack.daemon.duty;

import org.tamaracktrack.core.error.ErrorCode;
import org.tamaracktrack.core.log.LogEntry;
import org.tamaracktrack.core.log.LogRecord;
import org.tamaracktrack.core.log.LogStream;
import org.tamaracktrack.core.report.ReportRollUp;
import org.tamaracktrack.daemon.runtime.ControlThread;
import org.tamaracktrack.daemon.runtime.DaemonRuntime;

/**
 * Preserves the sums of the reports beyond the retention of the log: appends snapshots well before
 * the records that they replace expire. Used on the control thread only.
 */
final class ReporterDuty {
    private static final int REPORT_INTERVALS_PER_SNAPSHOT = 60;
    private static final int MINIMUM_RECORDS_PER_SNAPSHOT = 60;
    private static final int RECORDS_PER_PROCESS = 4;
    private static final int REPORT_INTERVALS_UNTIL_MISSING = 18;

    private final DaemonRuntime runtime;
    private final DutyLease lease;
    private final DutyAppender appender;
    private final ReportsFollower follower;
    private ReportRollUp rollUp;
    private long recordsSinceSnapshot;
    private long snapshotAtMillis;
    private boolean appending;

    private ReporterDuty(DaemonRuntime runtime, DutyLease lease, DutyAppender appender) {
        this.runtime = runtime;
        this.lease = lease;
        this.appender = appender;
        this.follower = ReportsFollower.of(runtime);
        this.rollUp = ReportRollUp.empty(missingAfterMillis());
    }

    static ReporterDuty of(DaemonRuntime runtime, DutyLease lease, DutyAppender appender) {
        return new ReporterDuty(runtime, lease, appender);
    }

    private long missingAfterMillis() {
        return REPORT_INTERVALS_UNTIL_MISSING * runtime.settings().reportMillis();
    }

    private long snapshotIntervalMillis() {
        return REPORT_INTERVALS_PER_SNAPSHOT * runtime.settings().reportMillis();
    }

    void tick() {
        if (lease.term().isEmpty()) {
            follower.stop();
            return;
        }
        follower.start(this::beginRollUp);
        if (!appending) {
            snapshotReports();
        }
    }

    private ReportsFollower.Sink beginRollUp() {
        rollUp = ReportRollUp.empty(missingAfterMillis());
        recordsSinceSnapshot = 0;
        snapshotAtMillis = ControlThread.nowMillis();
        return new RollUpSink();
    }

    private void snapshotReports() {
        if (!follower.caughtUp()) {
            return;
        }
        rollUp.continueWithoutSnapshot();
        long ageMillis = ControlThread.nowMillis() - snapshotAtMillis;
        long recordThreshold =
                Math.max(
                        MINIMUM_RECORDS_PER_SNAPSHOT,
                        (long) RECORDS_PER_PROCESS * rollUp.processCount());
        boolean due =
                recordsSinceSnapshot >= recordThreshold
                        || recordsSinceSnapshot > 0 && ageMillis >= snapshotIntervalMillis();
        if (due) {
            rollUp.snapshot().ifPresent(this::append);
            recordsSinceSnapshot = 0;
            snapshotAtMillis = ControlThread.nowMillis();
        }
    }

    private void append(LogEntry entry) {
        appending = true;
        appender.append(LogStream.REPORTS, entry, lease::isValid, new Outcome());
    }

    private final class RollUpSink implements ReportsFollower.Sink {
        @Override
        public void onRecord(LogRecord record) {
            rollUp.handle(record);
            if (record.entry() instanceof LogEntry.ReportSnapshot) {
                recordsSinceSnapshot = 0;
            } else {
                recordsSinceSnapshot++;
            }
        }

        @Override
        public void onGap(long firstOffset) {
            rollUp.handleGap(firstOffset);
        }
    }

    private final class Outcome implements DutyAppender.Listener {
        @Override
        public void onAppended(long offset, long sentAtMillis) {
            appending = false;
        }

        @Override
        public void onFailed(ErrorCode code) {
            appending = false;
            recordsSinceSnapshot++;
        }
    }
}
