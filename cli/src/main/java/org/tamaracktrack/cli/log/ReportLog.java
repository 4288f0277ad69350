package org.tamaracktrack.cli.log;

import java.util.concurrent.atomic.AtomicLong;
import org.tamaracktrack.core.log.LogStream;
import org.tamaracktrack.core.report.Report;
import org.tamaracktrack.core.report.ReportRollUp;
import org.tamaracktrack.link.log.LogClient;

/** Reads the reports stream of the log and aggregates it. */
public final class ReportLog {
    private ReportLog() {}

    /**
     * Reads the stream to its end and aggregates the counters. A process counts as missing by
     * comparison with the time of the newest record, so the clock of the operator's host has no
     * influence.
     *
     * @param log the log
     * @param timer limits the retries of failed reads
     * @return the report
     */
    public static Report read(LogClient log, RetryTimer timer) {
        ReportRollUp rollUp = ReportRollUp.empty(ReportRollUp.DEFAULT_MISSING_AFTER_MILLIS);
        AtomicLong newestRecordMillis = new AtomicLong();
        StreamReader.of(
                        log,
                        LogStream.REPORTS,
                        record -> {
                            newestRecordMillis.accumulateAndGet(
                                    record.appendedAtMillis(), Math::max);
                            rollUp.handle(record);
                        },
                        offset -> {},
                        rollUp::handleGap)
                .readToEnd(timer);
        return rollUp.report(newestRecordMillis.get());
    }
}
