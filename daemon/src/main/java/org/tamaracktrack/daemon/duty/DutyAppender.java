package org.tamaracktrack.daemon.duty;

import java.util.Objects;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.tamaracktrack.core.error.ErrorCode;
import org.tamaracktrack.core.error.TamaracktrackException;
import org.tamaracktrack.core.log.LogEntry;
import org.tamaracktrack.core.log.LogStream;
import org.tamaracktrack.daemon.runtime.ControlThread;
import org.tamaracktrack.link.log.LogClient;

/** Appends the records of the duties one at a time, off the control thread. */
final class DutyAppender {
    private final LogClient log;
    private final ControlThread control;
    private final ExecutorService executor;

    /** Hears of the outcome of an append, on the control thread. */
    interface Listener {

        /** The record was written at an offset, and sent at a monotonic time. */
        void onAppended(long offset, long sentAtMillis);

        /** The record was not written, or no answer says so. */
        void onFailed(ErrorCode code);
    }

    private DutyAppender(LogClient log, ControlThread control) {
        this.log = log;
        this.control = control;
        this.executor =
                Executors.newSingleThreadExecutor(
                        task -> {
                            Thread thread = new Thread(task, "duties");
                            thread.setDaemon(true);
                            return thread;
                        });
    }

    static DutyAppender of(LogClient log, ControlThread control) {
        Objects.requireNonNull(log, "log is null");
        Objects.requireNonNull(control, "control is null");
        return new DutyAppender(log, control);
    }

    /**
     * Appends a record unless its reason has gone by the time it is its turn.
     *
     * @param stream the stream
     * @param entry the record
     * @param stillDue asked right before the record is sent, on the appending thread
     * @param listener hears of the outcome
     */
    void append(LogStream stream, LogEntry entry, BooleanSupplier stillDue, Listener listener) {
        try {
            executor.execute(() -> appendNow(stream, entry, stillDue, listener));
        } catch (RejectedExecutionException closed) {
            control.post(() -> listener.onFailed(ErrorCode.LEAVING));
        }
    }

    // The process may have been paused between the decision and this moment, long enough for
    // another to hold the duty. A record sent now would be an order from a former holder; asking
    // again right here leaves only a pause within the append, which the log's order settles.
    private void appendNow(
            LogStream stream, LogEntry entry, BooleanSupplier stillDue, Listener listener) {
        if (!stillDue.getAsBoolean()) {
            control.post(() -> listener.onFailed(ErrorCode.SUPERSEDED));
            return;
        }
        long sentAtMillis = ControlThread.nowMillis();
        try {
            LogClient.Appended appended = log.append(stream, entry);
            control.post(() -> listener.onAppended(appended.offset(), sentAtMillis));
        } catch (TamaracktrackException failure) {
            control.post(() -> listener.onFailed(failure.code()));
        }
    }

    /** Waits until every record given so far was tried. */
    void drain(long limitMillis) {
        executor.shutdown();
        try {
            executor.awaitTermination(limitMillis, TimeUnit.MILLISECONDS);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }
}
