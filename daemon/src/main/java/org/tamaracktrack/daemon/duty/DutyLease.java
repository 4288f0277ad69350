package org.tamaracktrack.daemon.duty;

import java.util.Optional;
import java.util.OptionalLong;
import org.jboss.logging.Logger;
import org.tamaracktrack.core.error.ErrorCode;
import org.tamaracktrack.core.lease.LeaseManager;
import org.tamaracktrack.core.log.LogEntry;
import org.tamaracktrack.core.log.LogRecord;
import org.tamaracktrack.core.log.LogStream;
import org.tamaracktrack.daemon.runtime.ControlThread;

/**
 * Appends the records of the lease of one duty as its manager requires. Used on the control thread
 * only, except where stated otherwise.
 */
final class DutyLease {
    private static final Logger LOG = Logger.getLogger(DutyLease.class);

    private final String duty;
    private final LeaseManager manager;
    private final DutyAppender appender;
    private volatile long validUntilMillis = Long.MIN_VALUE;
    private boolean holding;

    private DutyLease(String duty, LeaseManager manager, DutyAppender appender) {
        this.duty = duty;
        this.manager = manager;
        this.appender = appender;
    }

    static DutyLease of(String duty, LeaseManager manager, DutyAppender appender) {
        return new DutyLease(duty, manager, appender);
    }

    void onRecord(LogRecord record) {
        manager.handle(record, ControlThread.nowMillis());
        updateState();
    }

    void tick() {
        manager.tick(ControlThread.nowMillis())
                .ifPresent(
                        entry -> appender.append(LogStream.PLAN, entry, () -> true, new Outcome()));
        updateState();
    }

    private void updateState() {
        validUntilMillis = manager.validUntilMillis();
        boolean holdsNow = term().isPresent();
        if (holdsNow != holding) {
            holding = holdsNow;
            LOG.infof("event=duty-%s duty=%s", holdsNow ? "taken" : "lost", duty);
        }
    }

    /** Returns the term while the lease is valid, empty otherwise. */
    OptionalLong term() {
        return manager.term(ControlThread.nowMillis());
    }

    /** Returns whether the lease is valid now. May be called by any thread. */
    boolean isValid() {
        return ControlThread.nowMillis() < validUntilMillis;
    }

    void release() {
        Optional<LogEntry> release = manager.release(ControlThread.nowMillis());
        release.ifPresent(
                entry -> appender.append(LogStream.PLAN, entry, () -> true, new Outcome()));
        updateState();
    }

    private final class Outcome implements DutyAppender.Listener {
        @Override
        public void onAppended(long offset, long sentAtMillis) {
            manager.appended(offset, sentAtMillis);
            updateState();
        }

        @Override
        public void onFailed(ErrorCode code) {
            manager.appendFailed(ControlThread.nowMillis());
        }
    }
}
