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

/** The lease of one duty: appends what the keeper asks for. On the control thread. */
final class DutyLease {
    private static final Logger LOG = Logger.getLogger(DutyLease.class);

    private final String duty;
    private final LeaseManager keeper;
    private final DutyAppender appender;
    private volatile long trustedUntilMillis = Long.MIN_VALUE;
    private boolean holding;

    private DutyLease(String duty, LeaseManager keeper, DutyAppender appender) {
        this.duty = duty;
        this.keeper = keeper;
        this.appender = appender;
    }

    static DutyLease of(String duty, LeaseManager keeper, DutyAppender appender) {
        return new DutyLease(duty, keeper, appender);
    }

    void onRecord(LogRecord record) {
        keeper.handle(record, ControlThread.nowMillis());
        observe();
    }

    void tick() {
        keeper.tick(ControlThread.nowMillis())
                .ifPresent(
                        entry -> appender.append(LogStream.PLAN, entry, () -> true, new Outcome()));
        observe();
    }

    private void observe() {
        trustedUntilMillis = keeper.validUntilMillis();
        boolean now = term().isPresent();
        if (now != holding) {
            holding = now;
            LOG.infof("event=duty-%s duty=%s", now ? "taken" : "lost", duty);
        }
    }

    /** Returns the term while the lease can be trusted. */
    OptionalLong term() {
        return keeper.term(ControlThread.nowMillis());
    }

    /** Returns whether the lease can be trusted now. For any thread. */
    boolean trusted() {
        return ControlThread.nowMillis() < trustedUntilMillis;
    }

    void release() {
        Optional<LogEntry> release = keeper.release(ControlThread.nowMillis());
        release.ifPresent(
                entry -> appender.append(LogStream.PLAN, entry, () -> true, new Outcome()));
        observe();
    }

    private final class Outcome implements DutyAppender.Listener {
        @Override
        public void onAppended(long offset, long sentAtMillis) {
            keeper.appended(offset, sentAtMillis);
            observe();
        }

        @Override
        public void onFailed(ErrorCode code) {
            keeper.appendFailed(ControlThread.nowMillis());
        }
    }
}
