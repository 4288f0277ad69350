package org.tamaracktrack.daemon.target;

import java.util.Objects;
import java.util.function.BooleanSupplier;
import org.tamaracktrack.core.log.LogEntry;
import org.tamaracktrack.daemon.runtime.ControlThread;

/**
 * Takes ownership of the target for this process and appends the record again before it expires.
 */
final class OwnershipRenewer {
    private static final long RETRY_MILLIS = 2_000;
    private static final long RENEWAL_MILLIS = 60_000;
    private static final long LOG_FRESHNESS_MILLIS = 5_000;

    private final LogEntry.OwnershipTaken record;
    private final OwnershipAppender appender;
    private final BooleanSupplier isOwner;
    private long appendedAtMillis = Long.MIN_VALUE / 2;
    private long caughtUpAtMillis = Long.MIN_VALUE / 2;
    private boolean deposed;

    private OwnershipRenewer(
            LogEntry.OwnershipTaken record, OwnershipAppender appender, BooleanSupplier isOwner) {
        this.record = record;
        this.appender = appender;
        this.isOwner = isOwner;
    }

    static OwnershipRenewer of(
            LogEntry.OwnershipTaken record, OwnershipAppender appender, BooleanSupplier isOwner) {
        Objects.requireNonNull(record, "record is null");
        return new OwnershipRenewer(record, appender, isOwner);
    }

    void onCaughtUp(long nowMillis) {
        caughtUpAtMillis = nowMillis;
    }

    void onDeposed() {
        deposed = true;
    }

    void tick() {
        long nowMillis = ControlThread.nowMillis();
        if (deposed) {
            return;
        }
        boolean owner = isOwner.getAsBoolean();
        long sinceAppendMillis = nowMillis - appendedAtMillis;
        if ((!owner && sinceAppendMillis >= RETRY_MILLIS)
                || (owner && sinceAppendMillis >= RENEWAL_MILLIS && isLogFresh(nowMillis))) {
            appendedAtMillis = nowMillis;
            appender.append(record, () -> {});
        }
    }

    // A process that was suspended until after its successor started would take the target back by
    // renewing its record. It therefore must first have read the log up to the end, where the
    // record of the successor is.
    private boolean isLogFresh(long nowMillis) {
        return nowMillis - caughtUpAtMillis < LOG_FRESHNESS_MILLIS;
    }
}
