package org.tamaracktrack.core.placement;

import java.util.Optional;
import org.tamaracktrack.core.lease.Duty;
import org.tamaracktrack.core.lease.Lease;
import org.tamaracktrack.core.lease.LeaseRegister;
import org.tamaracktrack.core.log.LogEntry;
import org.tamaracktrack.core.log.LogRecord;

/** Derives the plan in force from the records of the plan stream, in offset order. */
public final class PlanRegister {
    private final LeaseRegister leases;
    private Optional<LogEntry.PlanPublished> inForce = Optional.empty();
    private long inForceOffset = -1;
    private long refused;

    private PlanRegister(LeaseRegister leases) {
        this.leases = leases;
    }

    /**
     * Returns a register without a plan.
     *
     * @return the register
     */
    public static PlanRegister empty() {
        return new PlanRegister(LeaseRegister.empty());
    }

    /**
     * Applies the next record of the plan stream.
     *
     * @param record the record
     * @return the plan in this record if the plan is now in force; empty otherwise
     */
    public Optional<LogEntry.PlanPublished> handle(LogRecord record) {
        leases.handle(record);
        if (!(record.entry() instanceof LogEntry.PlanPublished plan)) {
            return Optional.empty();
        }
        if (!isPublishedUnderLeaseInForce(plan, record)) {
            refused++;
            return Optional.empty();
        }
        inForce = Optional.of(plan);
        inForceOffset = record.offset();
        return inForce;
    }

    // Two planners may be active at the same time: one is paused, its lease expires, another takes
    // over, and then the append of the first arrives. Accepting both would move copies back and
    // forth. In the log this append follows the new lease, so its term is not in force and every
    // reader rejects it alike.
    private boolean isPublishedUnderLeaseInForce(LogEntry.PlanPublished plan, LogRecord record) {
        Optional<Lease> lease = leases.inForceAt(Duty.PLANNER, record.appendedAtMillis());
        return lease.filter(held -> held.holder().equals(plan.holder()))
                .filter(held -> held.term() == plan.term())
                .isPresent();
    }

    /**
     * Returns the plan in force.
     *
     * @return the plan; empty if none has been in force yet
     */
    public Optional<LogEntry.PlanPublished> inForce() {
        return inForce;
    }

    /**
     * Returns the log offset of the plan in force.
     *
     * @return the offset, or -1 if there is no plan
     */
    public long inForceOffset() {
        return inForceOffset;
    }

    /**
     * Returns the number of plans that were rejected because their term was not in force.
     *
     * @return the number of rejected plans
     */
    public long refused() {
        return refused;
    }

    /**
     * Returns the leases that are granted in the same stream.
     *
     * @return the leases
     */
    public LeaseRegister leases() {
        return leases;
    }
}
