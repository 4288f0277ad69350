package org.tamaracktrack.daemon.runtime;

import java.util.Objects;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.jboss.logging.Logger;
import org.tamaracktrack.core.error.TamaracktrackException;
import org.tamaracktrack.core.log.LogRecord;
import org.tamaracktrack.core.log.LogStream;
import org.tamaracktrack.link.log.LogClient;

/**
 * Reads one stream of the log continuously on a thread of its own and passes its records to a
 * listener on the control thread.
 */
public final class LogFollower implements AutoCloseable {
    private static final Logger LOG = Logger.getLogger(LogFollower.class);
    private static final int BATCH_RECORDS = 500;
    private static final long READ_WAIT_MILLIS = 2_000;
    private static final long RETRY_MILLIS = 300;

    private final LogClient log;
    private final LogStream stream;
    private final ControlThread control;
    private final Listener listener;
    private final Thread thread;
    private volatile boolean closed;

    /** Receives the stream's records. All methods are called on the control thread. */
    public interface Listener {

        /**
         * Handles a record. Records arrive in the order of their offsets.
         *
         * @param record the record
         */
        void onRecord(LogRecord record);

        /**
         * Handles a record that can't be decoded and is therefore skipped. Called before the other
         * records of the same read, including those with lower offsets.
         *
         * @param offset the offset of the skipped record
         */
        default void onUndecodable(long offset) {}

        /**
         * Handles a gap: records from the next expected offset on expired before they were read.
         *
         * @param firstOffset the offset of the oldest record that the log still holds
         */
        void onGap(long firstOffset);

        /**
         * Handles the end of the stream: every record that the log held at the time of the read has
         * been passed on.
         *
         * @param nextOffset the offset that the next appended record will have
         */
        void onCaughtUp(long nextOffset);

        /**
         * Handles a change of the log's availability.
         *
         * @param reachable whether the latest read succeeded
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
     * @param log the log to read from
     * @param stream the stream
     * @param control the thread on which the listener is called
     * @param listener receives the records
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
        long nextOffset = 0;
        boolean reachable = true;
        while (!closed) {
            try {
                LogClient.Batch batch =
                        log.read(stream, nextOffset, BATCH_RECORDS, READ_WAIT_MILLIS);
                if (!reachable) {
                    reachable = true;
                    control.post(() -> listener.onReachable(true));
                }
                nextOffset = deliver(nextOffset, batch);
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

    private long deliver(long nextOffset, LogClient.Batch batch) {
        // Records may expire before a slow reader has read them. If the gap were skipped without
        // notice, the reader would treat an old configuration as the current one.
        if (batch.firstOffset() > nextOffset) {
            control.post(() -> listener.onGap(batch.firstOffset()));
        }
        batch.undecodable().forEach(offset -> control.post(() -> listener.onUndecodable(offset)));
        batch.records().forEach(record -> control.post(() -> listener.onRecord(record)));
        long followingOffset =
                Math.max(Math.max(nextOffset, batch.firstOffset()), lastOffset(batch) + 1);
        if (followingOffset >= batch.nextOffset()) {
            control.post(() -> listener.onCaughtUp(batch.nextOffset()));
        }
        return followingOffset;
    }

    private static long lastOffset(LogClient.Batch batch) {
        long lastDecoded = batch.records().stream().mapToLong(LogRecord::offset).max().orElse(-1);
        long lastUndecodable =
                batch.undecodable().stream().mapToLong(Long::longValue).max().orElse(-1);
        return Math.max(lastDecoded, lastUndecodable);
    }

    @Override
    public void close() {
        closed = true;
        thread.interrupt();
    }
}
