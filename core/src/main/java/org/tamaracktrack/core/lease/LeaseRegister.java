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
 * The leases, derived from the records of the plan stream in offset order. Every reader of the same
 * records derives the same holders, so nothing has to be agreed beyond the log's order.
 */
public final class LeaseRegister {
    /** A longer lease is cut to this, so that a bad record can't take a duty for good. */
    public static final long MAXIMUM_DURATION_MILLIS = 60_000;

    private final Map<Duty, Lease> leases = new EnumMap<>(Duty.class);
    private final Set<Duty> doubtful = EnumSet.noneOf(Duty.class);
    private long firstOffset = -1;
    private long firstMillis;

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
     * Takes the next record of the plan stream in.
     *
     * @param record the record
     * @return true when it granted, renewed or ended a lease
     */
    public boolean handle(LogRecord record) {
        if (firstOffset < 0) {
            firstOffset = record.offset();
            firstMillis = record.appendedAtMillis();
        }
        if (record.entry() instanceof LogEntry.LeaseTaken taken) {
            return duty(taken.duty()).map(duty -> take(duty, taken, record)).orElse(false);
        }
        if (record.entry() instanceof LogEntry.LeaseReleased released) {
            return duty(released.duty()).map(duty -> release(duty, released, record)).orElse(false);
        }
        return false;
    }

    private boolean take(Duty duty, LogEntry.LeaseTaken taken, LogRecord record) {
        Lease last = leases.get(duty);
        boolean inForce = last != null && last.inForceAt(record.appendedAtMillis());
        if (!granted(duty, last, inForce, taken, record.offset())) {
            return false;
        }
        long expiresAtMillis =
                record.appendedAtMillis()
                        + Math.min(Math.max(0, taken.durationMillis()), MAXIMUM_DURATION_MILLIS);
        Lease lease =
                new Lease(taken.holder(), term(last, inForce, taken, record), expiresAtMillis);
        leases.put(duty, lease);
        if (taken.renews() < 0 && historyUnknown(record)) {
            doubtful.add(duty);
        } else {
            doubtful.remove(duty);
        }
        return true;
    }

    // A reader that begins in the middle of the stream may first see a claim that full readers
    // refused because of a grant that has expired from the log. Believed for good, that claim's
    // term would be higher than the true holder's and every plan would be dropped. Within the
    // longest lease from the first record read, a claim is therefore doubtful and gives way to any
    // renewal: a holder renews within its lease, and of two renewals the higher term stays.
    private boolean historyUnknown(LogRecord record) {
        return firstOffset > 0 && record.appendedAtMillis() < firstMillis + MAXIMUM_DURATION_MILLIS;
    }

    // A paused holder that wakes after its lease lapsed renews a term that another process has
    // since been granted past. Granting it would give two holders in turn; its number is lower than
    // the last grant's, so every reader refuses it and it has to claim anew.
    private boolean granted(
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
        return doubtful.contains(duty)
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

    private boolean release(Duty duty, LogEntry.LeaseReleased released, LogRecord record) {
        Lease last = leases.get(duty);
        if (last == null || !last.holder().equals(released.holder())) {
            return false;
        }
        long endsAtMillis = Math.min(last.expiresAtMillis(), record.appendedAtMillis());
        leases.put(duty, new Lease(last.holder(), last.term(), endsAtMillis));
        return true;
    }

    /**
     * Returns the last lease granted, whether or not it has lapsed since.
     *
     * @param duty the duty
     * @return the lease, if any was granted
     */
    public Optional<Lease> last(Duty duty) {
        return Optional.ofNullable(leases.get(duty));
    }

    /**
     * Returns the lease in force.
     *
     * @param duty the duty
     * @param logMillis a time by the log's clock
     * @return the lease, if one is in force
     */
    public Optional<Lease> inForceAt(Duty duty, long logMillis) {
        return last(duty).filter(lease -> lease.inForceAt(logMillis));
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

    private static Optional<Duty> duty(String text) {
        return Arrays.stream(Duty.values()).filter(duty -> duty.text().equals(text)).findFirst();
    }
}
