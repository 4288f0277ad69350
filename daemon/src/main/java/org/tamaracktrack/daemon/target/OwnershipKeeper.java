package org.tamaracktrack.daemon.target;

import java.util.Objects;
import java.util.function.BooleanSupplier;
import org.tamaracktrack.core.log.LogEntry;
import org.tamaracktrack.daemon.runtime.ControlThread;

/** Takes the target for this process and repeats the record before it expires. */
final class OwnershipKeeper {
    private static final long AGAIN_MILLIS = 2_000;
    private static final long REPEAT_MILLIS = 60_000;
    private static final long FRESH_MILLIS = 5_000;

    private final LogEntry.OwnershipTaken record;
    private final OwnershipLog log;
    private final BooleanSupplier isOwner;
    private long appendedAtMillis = Long.MIN_VALUE / 2;
    private long caughtUpAtMillis = Long.MIN_VALUE / 2;
    private boolean deposed;

    private OwnershipKeeper(
            LogEntry.OwnershipTaken record, OwnershipLog log, BooleanSupplier isOwner) {
        this.record = record;
        this.log = log;
        this.isOwner = isOwner;
    }

    static OwnershipKeeper of(
            LogEntry.OwnershipTaken record, OwnershipLog log, BooleanSupplier isOwner) {
        Objects.requireNonNull(record, "record is null");
        return new OwnershipKeeper(record, log, isOwner);
    }

    void caughtUp(long nowMillis) {
        caughtUpAtMillis = nowMillis;
    }

    void deposed() {
        deposed = true;
    }

    void tick() {
        long now = ControlThread.nowMillis();
        if (deposed) {
            return;
        }
        boolean owner = isOwner.getAsBoolean();
        long since = now - appendedAtMillis;
        if ((!owner && since >= AGAIN_MILLIS)
                || (owner && since >= REPEAT_MILLIS && isFresh(now))) {
            appendedAtMillis = now;
            log.append(record, () -> {});
        }
    }

    // A process that was paused past its successor's start would take the target back by repeating
    // its record. It first has to have read the log up to the end, where the successor's record is.
    private boolean isFresh(long now) {
        return now - caughtUpAtMillis < FRESH_MILLIS;
    }
}
