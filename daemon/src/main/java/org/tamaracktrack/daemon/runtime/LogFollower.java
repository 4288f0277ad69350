package org.tamaracktrack.daemon.runtime;

import java.util.Objects;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.jboss.logging.Logger;
import org.tamaracktrack.core.error.TamaracktrackException;
import org.tamaracktrack.core.log.LogRecord;
import org.tamaracktrack.core.log.LogStream;
import org.tamaracktrack.link.log.LogClient;

/** Follows one stream of the log on a thread of its own and hands its records to control state. */
public final class LogFollower implements AutoCloseable {
    private static final Logger LOG = Logger.getLogger(LogFollower.class);
    private static final int BATCH = 500;
    private static final long WAIT_MILLIS = 2_000;
    private static final long RETRY_MILLIS = 300;

    private final LogClient log;
    private final LogStream stream;
    private final ControlThread control;
    private final Listener listener;
    private final Thread thread;
    private volatile boolean closed;

    /** Hears of the stream's records, on the control thread. */
    public interface Listener {

        /**
         * A record, in offset order.
         *
         * @param record the record
         */
        void onRecord(LogRecord record);

        /**
         * A record that is not understood, and is therefore not handed over. Called before the
         * records around it.
         *
         * @param offset its offset
         */
        default void onUndecodable(long offset) {}

        /**
         * Records from the next offset on have expired before they were read.
         *
         * @param firstOffset the oldest record there still is
         */
        void onGap(long firstOffset);

        /**
         * Every record there was when this was read has been handed over.
         *
         * @param nextOffset the offset of the record to be appended next
         */
        void onCaughtUp(long nextOffset);

        /**
         * The log could not be read, or can be read again.
         *
         * @param reachable whether it can
         */
        void onReachable(boolean reachable);
    }

    private LogFollower(LogClient log, LogStream stream, ControlThread control, Listener listener) {
        this.log = log;
        this.stream = stream;
        this.control = control;
        this.listener = listener;
        this.thread = new Thread(this::follow, "follow-" + stream.path());
        this.thread.setDaemon(true);
    }

    /**
     * Starts to follow a stream from its oldest record.
     *
     * @param log the log
     * @param stream the stream
     * @param control the control thread
     * @param listener hears of the records
     * @return the follower
     */
    public static LogFollower start(
            LogClient log, LogStream stream, ControlThread control, Listener listener) {
        Objects.requireNonNull(log, "log is null");
        Objects.requireNonNull(listener, "listener is null");
        LogFollower follower = new LogFollower(log, stream, control, listener);
        follower.thread.start();
        return follower;
    }

    private void follow() {
        long next = 0;
        boolean reachable = true;
        while (!closed) {
            try {
                LogClient.Batch batch = log.read(stream, next, BATCH, WAIT_MILLIS);
                if (!reachable) {
                    reachable = true;
                    control.post(() -> listener.onReachable(true));
                }
                next = deliver(next, batch);
            } catch (TamaracktrackException failure) {
                if (reachable) {
                    reachable = false;
                    LOG.warnf("event=log-unreachable stream=%s", stream.path());
                    control.post(() -> listener.onReachable(false));
                }
                LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(RETRY_MILLIS));
            }
        }
    }

    private long deliver(long next, LogClient.Batch batch) {
        // Retention may drop records before a slow reader sees them; passing over the hole in
        // silence would leave it with an old configuration that it believes to be current.
        if (batch.firstOffset() > next) {
            control.post(() -> listener.onGap(batch.firstOffset()));
        }
        batch.undecodable().forEach(offset -> control.post(() -> listener.onUndecodable(offset)));
        batch.records().forEach(record -> control.post(() -> listener.onRecord(record)));
        long after = Math.max(Math.max(next, batch.firstOffset()), lastOffset(batch) + 1);
        if (after >= batch.nextOffset()) {
            control.post(() -> listener.onCaughtUp(batch.nextOffset()));
        }
        return after;
    }

    private static long lastOffset(LogClient.Batch batch) {
        long known = batch.records().stream().mapToLong(LogRecord::offset).max().orElse(-1);
        long unknown = batch.undecodable().stream().mapToLong(Long::longValue).max().orElse(-1);
        return Math.max(known, unknown);
    }

    @Override
    public void close() {
        closed = true;
        thread.interrupt();
    }
}
