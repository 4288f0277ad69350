package org.tamaracktrack.core.target;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import org.tamaracktrack.core.id.IncarnationId;
import org.tamaracktrack.core.id.OrderId;
import org.tamaracktrack.core.id.TargetId;
import org.tamaracktrack.core.log.LogEntry;
import org.tamaracktrack.core.log.LogRecord;

/**
 * Derives the owner of one target and the orders that may still take effect from the records of the
 * ownership stream, in offset order. All readers that have read up to the same offset agree.
 */
public final class OwnershipRegister {
    private final TargetId target;
    private final Map<OrderId, LogEntry.OrderIntent> intents = new LinkedHashMap<>();
    private Optional<IncarnationId> owner = Optional.empty();
    private long ownerStartedAtMillis;
    private long fencing = -1;
    private long firstFencingOfOwner = -1;

    private OwnershipRegister(TargetId target) {
        this.target = target;
    }

    /**
     * Returns a register without an owner.
     *
     * @param target the target
     * @return the register
     */
    public static OwnershipRegister of(TargetId target) {
        Objects.requireNonNull(target, "target is null");
        return new OwnershipRegister(target);
    }

    /**
     * Applies the next record.
     *
     * @param record the record
     */
    public void handle(LogRecord record) {
        Objects.requireNonNull(record, "record is null");
        if (record.entry() instanceof LogEntry.OwnershipTaken taken
                && taken.target().equals(target)) {
            recordOwnership(taken, record.offset());
        } else if (record.entry() instanceof LogEntry.OrderIntent intent
                && intent.target().equals(target)) {
            recordIntent(intent);
        } else if (record.entry() instanceof LogEntry.OrderSettled settled
                && settled.target().equals(target)) {
            intents.remove(settled.order());
        }
    }

    private void recordOwnership(LogEntry.OwnershipTaken taken, long offset) {
        ownerStartedAtMillis = taken.startedAtMillis();
        if (!owner.equals(Optional.of(taken.owner()))) {
            owner = Optional.of(taken.owner());
            firstFencingOfOwner = offset;
        }
        fencing = offset;
    }

    // An intent that follows the record of a later owner is void: its writer reads that record
    // before it reads the intent back, and then does not send the order. A successor that has read
    // up to its own record therefore knows every order that its predecessors may still send.
    private void recordIntent(LogEntry.OrderIntent intent) {
        if (intent.fencing() >= firstFencingOfOwner) {
            intents.put(intent.order(), intent);
        }
    }

    /**
     * Returns the owner.
     *
     * @return its incarnation; empty if there is no owner
     */
    public Optional<IncarnationId> owner() {
        return owner;
    }

    /**
     * Returns the owner's fencing number.
     *
     * @return the offset of its latest ownership record, or -1 if there is no owner
     */
    public long fencing() {
        return fencing;
    }

    /**
     * Returns whether the current owner started later than another process on the same host.
     *
     * @param startedAtMillis the start time of the other process by the wall clock of the host
     * @return true if the owner started later
     */
    public boolean hasOwnerStartedAfter(long startedAtMillis) {
        return ownerStartedAtMillis > startedAtMillis;
    }

    /**
     * Returns the first fencing number of the owner since which no other process has owned the
     * target.
     *
     * @return the offset of that ownership record, or -1 if there is no owner
     */
    public long firstFencingOfOwner() {
        return firstFencingOfOwner;
    }

    /**
     * Returns whether there is a valid intent that is not settled.
     *
     * @param order the order of the intent
     * @return true if its writer was the owner at the offset of the intent
     */
    public boolean hasIntent(OrderId order) {
        return intents.containsKey(order);
    }

    /**
     * Returns the valid intents that are not settled.
     *
     * @return the intents
     */
    public Map<OrderId, LogEntry.OrderIntent> intents() {
        return Map.copyOf(intents);
    }

    /**
     * Removes the intent of an order that can no longer take effect.
     *
     * @param order the order
     */
    public void forget(OrderId order) {
        intents.remove(order);
    }
}
