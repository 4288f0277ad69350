package org.tamaracktrack.core.lease;

import java.util.Arrays;
import java.util.EnumMap;
import java.util.EnumSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.tamaracktrack.core.id.IncarnationId;
import org.tamaracktrack.core.log.LogEntry;
import org.tamaracktrack.core.log.LogRecord;

/**
 * The leases, derived from the records of the plan stream in offset order. All readers of the same
 * records derive the same holders, so the order of the log is the only agreement that is needed.
 */
public final class LeaseRegister {
    /** Longer durations are reduced to this, so that one bad record cannot block a duty forever. */
    public static final long MAXIMUM_DURATION_MILLIS = 60_000;

    private final Map<Duty, Lease> leases = new EnumMap<>(Duty.class);
    private final Set<Duty> unconfirmedDuties = EnumSet.noneOf(Duty.class);
    private long firstOffset = -1;
    private long firstAppendedAtMillis;

    private LeaseRegister() {}

    /**
     * Returns a register without leases.
     *
     * @return the register
     */
    public static LeaseRegister empty() {
        return new LeaseRegister();
    }

    /**
     * Applies the next record of the plan stream.
     *
     * @param record the record
     * @return true when the record granted, renewed or ended a lease
     */
    public boolean handle(LogRecord record) {
        if (firstOffset < 0) {
            firstOffset = record.offset();
            firstAppendedAtMillis = record.appendedAtMillis();
        }
        if (record.entry() instanceof LogEntry.LeaseTaken taken) {
            return findDuty(taken.duty())
                    .map(duty -> applyTaken(duty, taken, record))
                    .orElse(false);
        }
        if (record.entry() instanceof LogEntry.LeaseReleased released) {
            return findDuty(released.duty())
                    .map(duty -> applyReleased(duty, released, record))
                    .orElse(false);
        }
        return false;
    }

    private boolean applyTaken(Duty duty, LogEntry.LeaseTaken taken, LogRecord record) {
        Lease last = leases.get(duty);
        boolean inForce = last != null && last.isInForceAt(record.appendedAtMillis());
        if (!isGranted(duty, last, inForce, taken, record.offset())) {
            return false;
        }
        long expiresAtMillis =
                record.appendedAtMillis()
                        + Math.min(Math.max(0, taken.durationMillis()), MAXIMUM_DURATION_MILLIS);
        Lease lease =
                new Lease(taken.holder(), term(last, inForce, taken, record), expiresAtMillis);
        leases.put(duty, lease);
        if (taken.renews() < 0 && isHistoryUnknown(record)) {
            unconfirmedDuties.add(duty);
        } else {
            unconfirmedDuties.remove(duty);
        }
        return true;
    }

    // A reader that starts in the middle of the stream may first read a claim that readers of the
    // whole stream refused because of a grant that has since expired from the log. If it kept that
    // claim, the term would be higher than that of the real holder and every plan would be dropped.
    // Until the maximum lease duration has passed since the first record read, a claim is therefore
    // unconfirmed and any renewal replaces it: a holder renews within its lease, and of two
    // renewals the one with the higher term is kept.
    private boolean isHistoryUnknown(LogRecord record) {
        return firstOffset > 0
                && record.appendedAtMillis() < firstAppendedAtMillis + MAXIMUM_DURATION_MILLIS;
    }

    // A holder that was paused until after its lease expired may renew its old term although
    // another process was granted the duty in between. Granting that renewal would bring two
    // holders into force in turn. Its term is lower than that of the last grant, so all readers
    // refuse it, and the process has to claim the duty again.
    private boolean isGranted(
            Duty duty, Lease last, boolean inForce, LogEntry.LeaseTaken taken, long offset) {
        if (taken.renews() >= offset) {
            return false;
        }
        if (last == null) {
            return true;
        }
        boolean sameHolder = last.holder().equals(taken.holder());
        if (taken.renews() < 0) {
            return !inForce || sameHolder;
        }
        return unconfirmedDuties.contains(duty)
                || taken.renews() > last.term()
                || sameHolder && taken.renews() == last.term();
    }

    private static long term(
            Lease last, boolean inForce, LogEntry.LeaseTaken taken, LogRecord record) {
        if (taken.renews() >= 0) {
            return taken.renews();
        }
        boolean repeatedClaim = last != null && inForce && last.holder().equals(taken.holder());
        return repeatedClaim ? last.term() : record.offset();
    }

    private boolean applyReleased(Duty duty, LogEntry.LeaseReleased released, LogRecord record) {
        Lease last = leases.get(duty);
        if (last == null || !last.holder().equals(released.holder())) {
            return false;
        }
        long endsAtMillis = Math.min(last.expiresAtMillis(), record.appendedAtMillis());
        leases.put(duty, new Lease(last.holder(), last.term(), endsAtMillis));
        return true;
    }

    /**
     * Returns the lease that was granted last, whether or not it has expired since.
     *
     * @param duty the duty
     * @return the lease, if any was granted
     */
    public Optional<Lease> last(Duty duty) {
        return Optional.ofNullable(leases.get(duty));
    }

    /**
     * Returns the lease that is in force at a time.
     *
     * @param duty the duty
     * @param logMillis a time by the clock of the log
     * @return the lease, if one is in force
     */
    public Optional<Lease> inForceAt(Duty duty, long logMillis) {
        return last(duty).filter(lease -> lease.isInForceAt(logMillis));
    }

    /**
     * Returns the process that was last granted a duty.
     *
     * @param duty the duty
     * @return the process, if any
     */
    public Optional<IncarnationId> holder(Duty duty) {
        return last(duty).map(Lease::holder);
    }

    /**
     * Returns the term that was last granted.
     *
     * @param duty the duty
     * @return the term, if any
     */
    public Optional<Long> term(Duty duty) {
        return last(duty).map(Lease::term);
    }

    private static Optional<Duty> findDuty(String text) {
        return Arrays.stream(Duty.values()).filter(duty -> duty.text().equals(text)).findFirst();
    }
}
