package org.tamaracktrack.daemon.counters;

import java.util.Map;
import java.util.Objects;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.jboss.logging.Logger;
import org.tamaracktrack.core.error.TamaracktrackException;
import org.tamaracktrack.core.id.IncarnationId;
import org.tamaracktrack.core.log.LogEntry;
import org.tamaracktrack.core.log.LogStream;
import org.tamaracktrack.link.log.LogClient;

/**
 * Publishes the counters of this process to the reports stream of the log, on a thread of its own.
 *
 * <p>Each record contains the cumulative value of every counter since the process started, and a
 * unique sequence number. A record that is lost, duplicated or late therefore doesn't change the
 * totals: the next record contains all values again.
 */
public final class CounterPublisher {
    private static final Logger LOG = Logger.getLogger(CounterPublisher.class);

    /**
     * The number of periods after which unchanged counters are published again. Publishing them in
     * every period would load the log needlessly.
     */
    private static final int MAXIMUM_UNCHANGED_PERIODS = 6;

    private static final long RETRY_INTERVAL_MILLIS = 200;

    private final LogClient log;
    private final IncarnationId incarnation;
    private final String source;
    private final long reportMillis;
    private final Counters counters;
    private final long startedAtMillis = System.currentTimeMillis();
    private final CountDownLatch stopping = new CountDownLatch(1);
    private final Thread thread;
    private long sequence;
    private Map<String, Long> published = Map.of();
    private int unchangedPeriods;
    private boolean reachable = true;

    private CounterPublisher(
            LogClient log,
            IncarnationId incarnation,
            String source,
            long reportMillis,
            Counters counters) {
        this.log = log;
        this.incarnation = incarnation;
        this.source = source;
        this.reportMillis = reportMillis;
        this.counters = counters;
        this.thread = new Thread(this::run, "counters");
        this.thread.setDaemon(true);
    }

    /**
     * Starts a publisher. It publishes a record at once, and later ones as counters change.
     *
     * @param log the log to append to
     * @param incarnation the identifier of this run of the process
     * @param source {@code entry}, or the identifier of the target
     * @param reportMillis the interval between records, in milliseconds
     * @param counters the counters
     * @return the publisher
     */
    public static CounterPublisher start(
            LogClient log,
            IncarnationId incarnation,
            String source,
            long reportMillis,
            Counters counters) {
        Objects.requireNonNull(log, "log is null");
        Objects.requireNonNull(incarnation, "incarnation is null");
        Objects.requireNonNull(source, "source is null");
        Objects.requireNonNull(counters, "counters is null");
        CounterPublisher publisher =
                new CounterPublisher(log, incarnation, source, reportMillis, counters);
        publisher.thread.start();
        return publisher;
    }

    private void run() {
        try {
            publish(false);
            while (!stopping.await(reportMillis, TimeUnit.MILLISECONDS)) {
                publishIfDue();
            }
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    private void publishIfDue() {
        unchangedPeriods++;
        if (unchangedPeriods >= MAXIMUM_UNCHANGED_PERIODS
                || !counters.snapshot().equals(published)) {
            publish(false);
        }
    }

    private boolean publish(boolean last) {
        Map<String, Long> values = counters.snapshot();
        LogEntry entry =
                new LogEntry.CountersPublished(
                        incarnation,
                        source,
                        sequence++,
                        startedAtMillis,
                        System.currentTimeMillis(),
                        last,
                        values);
        try {
            log.append(LogStream.REPORTS, entry);
            published = values;
            unchangedPeriods = 0;
            reachable(true);
            return true;
        } catch (TamaracktrackException failure) {
            reachable(false);
            return false;
        }
    }

    private void reachable(boolean nowReachable) {
        if (reachable != nowReachable) {
            reachable = nowReachable;
            LOG.infof("event=counters-published reachable=%s", nowReachable);
        }
    }

    /**
     * Publishes the final record of this process. Call it when no request is in progress any more.
     * Retries until the record is written or the time limit has passed; without a final record,
     * reports list this process as missing.
     *
     * @param limitMillis the time limit in milliseconds
     * @return true if the final record was written
     */
    public boolean drain(long limitMillis) {
        long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(limitMillis);
        stopping.countDown();
        try {
            thread.join(Math.max(1, limitMillis));
            // The sequence number isn't synchronized. The publishing thread must have ended before
            // this thread numbers a record, or two records with different counters could get the
            // same number.
            if (thread.isAlive()) {
                return false;
            }
            return publishLast(deadlineNanos);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    private boolean publishLast(long deadlineNanos) throws InterruptedException {
        while (!publish(true)) {
            if (System.nanoTime() - deadlineNanos >= 0) {
                LOG.warnf("event=last-counters-lost incarnation=%s", incarnation);
                return false;
            }
            TimeUnit.MILLISECONDS.sleep(RETRY_INTERVAL_MILLIS);
        }
        return true;
    }
}
