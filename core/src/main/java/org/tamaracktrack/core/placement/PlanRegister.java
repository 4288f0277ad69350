package org.tamaracktrack.core.placement;

import java.util.Optional;
import org.tamaracktrack.core.lease.Duty;
import org.tamaracktrack.core.lease.Lease;
import org.tamaracktrack.core.lease.LeaseRegister;
import org.tamaracktrack.core.log.LogEntry;
import org.tamaracktrack.core.log.LogRecord;

/** The plan in force, derived from the records of the plan stream in offset order. */
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
     * Takes the next record of the plan stream in.
     *
     * @param record the record
     * @return the plan that this record puts in force, if it does
     */
    public Optional<LogEntry.PlanPublished> handle(LogRecord record) {
        leases.handle(record);
        if (!(record.entry() instanceof LogEntry.PlanPublished plan)) {
            return Optional.empty();
        }
        if (!holds(plan, record)) {
            refused++;
            return Optional.empty();
        }
        inForce = Optional.of(plan);
        inForceOffset = record.offset();
        return inForce;
    }

    // Two planners may each believe they are in charge: one was paused, its lease lapsed, another
    // took over, and the first one's append arrives late. Moves would then go back and forth. The
    // log orders the append after the new grant, so its term is not the one in force and every
    // reader drops it alike.
    private boolean holds(LogEntry.PlanPublished plan, LogRecord record) {
        Optional<Lease> lease = leases.inForceAt(Duty.PLANNER, record.appendedAtMillis());
        return lease.filter(held -> held.holder().equals(plan.holder()))
                .filter(held -> held.term() == plan.term())
                .isPresent();
    }

    /**
     * Returns the plan in force.
     *
     * @return the plan, if there is one
     */
    public Optional<LogEntry.PlanPublished> inForce() {
        return inForce;
    }

    /**
     * Returns the offset of the plan in force.
     *
     * @return the offset, or -1
     */
    public long inForceOffset() {
        return inForceOffset;
    }

    /**
     * Returns how many plans were refused because their term was not in force.
     *
     * @return how many
     */
    public long refused() {
        return refused;
    }

    /**
     * Returns the leases that the same records grant.
     *
     * @return the leases
     */
    public LeaseRegister leases() {
        return leases;
    }
}
