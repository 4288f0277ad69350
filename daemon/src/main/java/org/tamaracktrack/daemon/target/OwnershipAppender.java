package org.tamaracktrack.daemon.target;

import java.util.Objects;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.tamaracktrack.core.error.ErrorCode;
import org.tamaracktrack.core.error.TamaracktrackException;
import org.tamaracktrack.core.log.LogEntry;
import org.tamaracktrack.core.log.LogStream;
import org.tamaracktrack.link.log.LogClient;

/** Appends entries to the ownership stream of the log on a dedicated thread. */
final class OwnershipAppender implements AutoCloseable {
    private final LogClient log;
    private final ExecutorService executor =
            Executors.newSingleThreadExecutor(
                    task -> {
                        Thread thread = new Thread(task, "ownership-appends");
                        thread.setDaemon(true);
                        return thread;
                    });

    private OwnershipAppender(LogClient log) {
        this.log = log;
    }

    static OwnershipAppender of(LogClient log) {
        Objects.requireNonNull(log, "log is null");
        return new OwnershipAppender(log);
    }

    /** Appends an entry, and calls the callback if the entry was certainly not written. */
    void append(LogEntry entry, Runnable onNotWritten) {
        if (!executor.isShutdown()) {
            executor.execute(() -> appendNow(entry, onNotWritten));
        }
    }

    private void appendNow(LogEntry entry, Runnable onNotWritten) {
        try {
            log.append(LogStream.OWNERSHIP, entry);
        } catch (TamaracktrackException failure) {
            if (failure.code() == ErrorCode.LOG_UNAVAILABLE) {
                onNotWritten.run();
            }
        }
    }

    @Override
    public void close() {
        executor.shutdownNow();
    }
}
