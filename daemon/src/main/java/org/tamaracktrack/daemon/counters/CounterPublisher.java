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
 * Publishes the counters of this process in the reports stream, on a thread of its own.
 *
 * <p>Each append carries every counter since the process started and a sequence of its own, so that
 * one that is lost, doubled or late changes no sum: the next one says it all again.
 */
public final class CounterPublisher {
    private static final Logger LOG = Logger.getLogger(CounterPublisher.class);

    /** Unchanged counters are published only each so many periods, to spare the log. */
    private static final int QUIET_PERIODS = 6;

    private static final long RETRY_MILLIS = 200;

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
    private int quietPeriods;
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
     * Starts to publish.
     *
     * @param log the log
     * @param incarnation this process
     * @param source {@code entry} or the target's name
     * @param reportMillis the time between records
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
        quietPeriods++;
        if (quietPeriods >= QUIET_PERIODS || !counters.snapshot().equals(published)) {
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
            quietPeriods = 0;
            reachable(true);
            return true;
        } catch (TamaracktrackException failure) {
            reachable(false);
            return false;
        }
    }

    private void reachable(boolean now) {
        if (reachable != now) {
            reachable = now;
            LOG.infof("event=counters-published reachable=%s", now);
        }
    }

    /**
     * Publishes the last record of this process, after everything in progress has ended. Tries
     * until it is written or the time is up; then a report names this process as missing.
     *
     * @param limitMillis how long to try
     * @return true when it was written
     */
    public boolean drain(long limitMillis) {
        long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(limitMillis);
        stopping.countDown();
        try {
            thread.join(Math.max(1, limitMillis));
            // Two records with one sequence could carry different counters; the publishing thread
            // must have ended before this one numbers a record.
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
            TimeUnit.MILLISECONDS.sleep(RETRY_MILLIS);
        }
        return true;
    }
}
