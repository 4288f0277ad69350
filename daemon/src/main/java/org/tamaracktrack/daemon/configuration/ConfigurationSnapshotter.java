package org.tamaracktrack.daemon.configuration;

import java.util.Objects;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.function.BooleanSupplier;
import org.jboss.logging.Logger;
import org.tamaracktrack.core.config.ConfigurationEvent;
import org.tamaracktrack.core.config.SnapshotPolicy;
import org.tamaracktrack.core.error.TamaracktrackException;
import org.tamaracktrack.core.log.LogEntry;
import org.tamaracktrack.core.log.LogEntry.ConfigurationSnapshot;
import org.tamaracktrack.core.log.LogRecord;
import org.tamaracktrack.core.log.LogStream;
import org.tamaracktrack.daemon.runtime.ControlThread;
import org.tamaracktrack.link.log.LogClient;

/** Appends snapshots of the configuration before the records that they cover can expire. */
public final class ConfigurationSnapshotter implements AutoCloseable {
    private static final Logger LOG = Logger.getLogger(ConfigurationSnapshotter.class);
    private static final long MAXIMUM_AGE_MILLIS = 10 * 60_000;
    private static final int MAXIMUM_RECORDS = 16;
    private static final long CHECK_PERIOD_MILLIS = 1_000;
    private static final long ATTEMPT_INTERVAL_MILLIS = 10_000;

    private final FollowedConfiguration configuration;
    private final LogClient log;
    private final BooleanSupplier holdsDuty;
    private final SnapshotPolicy policy;
    private final ExecutorService writer;
    private long nextAttemptMillis;

    private ConfigurationSnapshotter(
            FollowedConfiguration configuration, LogClient log, BooleanSupplier holdsDuty) {
        this.configuration = configuration;
        this.log = log;
        this.holdsDuty = holdsDuty;
        this.policy =
                SnapshotPolicy.of(MAXIMUM_AGE_MILLIS, MAXIMUM_RECORDS, ControlThread.nowMillis());
        this.nextAttemptMillis = ControlThread.nowMillis();
        this.writer =
                Executors.newSingleThreadExecutor(
                        task -> {
                            Thread thread = new Thread(task, "configuration-snapshots");
                            thread.setDaemon(true);
                            return thread;
                        });
    }

    /**
     * Starts a snapshotter. It checks once per second whether a snapshot is due, on the control
     * thread, and appends on a thread of its own.
     *
     * @param configuration the configuration that snapshots are taken of
     * @param log the log to append to
     * @param control the control thread
     * @param holdsDuty whether this daemon holds the duty of writing snapshots; called on the
     *     control thread
     * @return the snapshotter
     */
    public static ConfigurationSnapshotter start(
            FollowedConfiguration configuration,
            LogClient log,
            ControlThread control,
            BooleanSupplier holdsDuty) {
        Objects.requireNonNull(configuration, "configuration is null");
        Objects.requireNonNull(log, "log is null");
        Objects.requireNonNull(holdsDuty, "holdsDuty is null");
        ConfigurationSnapshotter snapshotter =
                new ConfigurationSnapshotter(configuration, log, holdsDuty);
        configuration.addEventListener(snapshotter::onEvent);
        control.every(CHECK_PERIOD_MILLIS, snapshotter::appendIfDue);
        return snapshotter;
    }

    private void onEvent(ConfigurationEvent event) {
        if (event instanceof ConfigurationEvent.SnapshotAgrees agrees) {
            handleSnapshot(agrees.record());
        } else if (event instanceof ConfigurationEvent.SnapshotTaken taken) {
            handleSnapshot(taken.record());
        }
    }

    private void handleSnapshot(LogRecord record) {
        if (record.entry() instanceof LogEntry.ConfigurationSnapshot snapshot) {
            policy.handleSnapshot(
                    snapshot.upTo(), configuration.status().following(), ControlThread.nowMillis());
        }
    }

    private void appendIfDue() {
        long nowMillis = ControlThread.nowMillis();
        FollowedConfiguration.Status status = configuration.status();
        if (!status.following()
                || nowMillis < nextAttemptMillis
                || !policy.isDue(status.nextOffset(), holdsDuty.getAsBoolean(), nowMillis)) {
            return;
        }
        nextAttemptMillis = nowMillis + ATTEMPT_INTERVAL_MILLIS;
        configuration.snapshot().ifPresent(snapshot -> writer.execute(() -> append(snapshot)));
    }

    // The outcome of the append is not evaluated. A snapshot that was written is read back from the
    // log and resets the policy; otherwise another attempt follows after ATTEMPT_INTERVAL_MILLIS. A
    // second copy of a snapshot does no harm.
    private void append(ConfigurationSnapshot snapshot) {
        try {
            log.append(LogStream.CONFIGURATION, snapshot);
            LOG.infof(
                    "event=configuration-snapshot version=%d up-to=%d",
                    snapshot.version(), snapshot.upTo());
        } catch (TamaracktrackException failure) {
            LOG.warnf("event=configuration-snapshot-failed code=%s", failure.code());
        }
    }

    @Override
    public void close() {
        writer.shutdownNow();
    }
}
