package org.tamaracktrack.daemon.target;

import java.util.Objects;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.tamaracktrack.core.error.ErrorCode;
import org.tamaracktrack.core.error.TamaracktrackException;
import org.tamaracktrack.core.log.LogEntry;
import org.tamaracktrack.core.log.LogStream;
import org.tamaracktrack.link.log.LogClient;

/** Appends to the ownership stream on a thread of its own. */
final class OwnershipLog implements AutoCloseable {
    private final LogClient log;
    private final ExecutorService appends =
            Executors.newSingleThreadExecutor(
                    task -> {
                        Thread thread = new Thread(task, "ownership-appends");
                        thread.setDaemon(true);
                        return thread;
                    });

    private OwnershipLog(LogClient log) {
        this.log = log;
    }

    static OwnershipLog of(LogClient log) {
        Objects.requireNonNull(log, "log is null");
        return new OwnershipLog(log);
    }

    /** Appends an entry; the other hears if it was certainly not written. */
    void append(LogEntry entry, Runnable onNotWritten) {
        if (!appends.isShutdown()) {
            appends.execute(() -> appendNow(entry, onNotWritten));
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
        appends.shutdownNow();
    }
}
