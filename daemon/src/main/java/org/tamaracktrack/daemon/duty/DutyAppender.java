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

/** Appends the records of the duties to the log, one at a time on a thread of its own. */
final class DutyAppender {
    private final LogClient log;
    private final ControlThread control;
    private final ExecutorService executor;

    /** Receives the outcome of an append, on the control thread. */
    interface Listener {

        /**
         * Called when the record was written.
         *
         * @param offset the offset of the record
         * @param sentAtMillis the monotonic time right before it was sent, in milliseconds
         */
        void onAppended(long offset, long sentAtMillis);

        /**
         * Called when the record was not written, or no answer confirmed it.
         *
         * @param code the cause
         */
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
     * Appends a record after the earlier ones, unless it must no longer be sent then.
     *
     * @param stream the stream
     * @param entry the record
     * @param maySend evaluated right before the record is sent, on the appending thread; the record
     *     is sent only if it returns true
     * @param listener receives the outcome
     */
    void append(LogStream stream, LogEntry entry, BooleanSupplier maySend, Listener listener) {
        try {
            executor.execute(() -> appendNow(stream, entry, maySend, listener));
        } catch (RejectedExecutionException closed) {
            control.post(() -> listener.onFailed(ErrorCode.LEAVING));
        }
    }

    // The process may have been paused since the decision for so long that another one holds the
    // duty by now, and a record sent now would come from a former holder. After this check, only a
    // pause within the append remains, which the order of records in the log resolves.
    private void appendNow(
            LogStream stream, LogEntry entry, BooleanSupplier maySend, Listener listener) {
        if (!maySend.getAsBoolean()) {
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

    /** Accepts no more records and waits for the pending appends, at most for the given timeout. */
    void drain(long timeoutMillis) {
        executor.shutdown();
        try {
            executor.awaitTermination(timeoutMillis, TimeUnit.MILLISECONDS);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }
}
