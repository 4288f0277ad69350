package org.tamaracktrack.cli.log;

import java.util.concurrent.atomic.AtomicLong;
import org.tamaracktrack.core.log.LogStream;
import org.tamaracktrack.core.report.Report;
import org.tamaracktrack.core.report.ReportRollUp;
import org.tamaracktrack.link.log.LogClient;

/** The reports stream, summed. */
public final class ReportLog {
    private ReportLog() {}

    /**
     * Reads the stream to its end and sums it. Whether a process is silent is judged by the time of
     * the newest record, so that the clock of the operator's host does not matter.
     *
     * @param log the log
     * @param patience how often to try when the log can't be read
     * @return the report
     */
    public static Report read(LogClient log, Patience patience) {
        ReportRollUp rollUp = ReportRollUp.empty(ReportRollUp.DEFAULT_MISSING_AFTER_MILLIS);
        AtomicLong newestMillis = new AtomicLong();
        StreamReader.of(
                        log,
                        LogStream.REPORTS,
                        record -> {
                            newestMillis.accumulateAndGet(record.appendedAtMillis(), Math::max);
                            rollUp.handle(record);
                        },
                        offset -> {},
                        rollUp::handleGap)
                .readToEnd(patience);
        return rollUp.report(newestMillis.get());
    }
}
