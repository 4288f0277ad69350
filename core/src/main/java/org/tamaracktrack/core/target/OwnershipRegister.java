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
 * Who owns one target and which of its orders may be under way, as the log's records say in offset
 * order. Every reader that has read up to the same offset says the same.
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
     * Takes the next record in.
     *
     * @param record the record
     */
    public void handle(LogRecord record) {
        Objects.requireNonNull(record, "record is null");
        if (record.entry() instanceof LogEntry.OwnershipTaken taken
                && taken.target().equals(target)) {
            taken(taken, record.offset());
        } else if (record.entry() instanceof LogEntry.OrderIntent intent
                && intent.target().equals(target)) {
            intended(intent);
        } else if (record.entry() instanceof LogEntry.OrderSettled settled
                && settled.target().equals(target)) {
            intents.remove(settled.order());
        }
    }

    private void taken(LogEntry.OwnershipTaken taken, long offset) {
        ownerStartedAtMillis = taken.startedAtMillis();
        if (!owner.equals(Optional.of(taken.owner()))) {
            owner = Optional.of(taken.owner());
            firstFencingOfOwner = offset;
        }
        fencing = offset;
    }

    // An intent that follows a later owner's record is void: its writer reads that record before it
    // reads its intent back, and then does not send the order. So a successor that has read up to
    // its own record knows of every order that its predecessors may still send.
    private void intended(LogEntry.OrderIntent intent) {
        if (intent.fencing() >= firstFencingOfOwner) {
            intents.put(intent.order(), intent);
        }
    }

    /**
     * Returns the owner.
     *
     * @return its incarnation, if there is one
     */
    public Optional<IncarnationId> owner() {
        return owner;
    }

    /**
     * Returns the owner's fencing number.
     *
     * @return the offset of its last ownership record, or -1
     */
    public long fencing() {
        return fencing;
    }

    /**
     * Returns whether the present owner started later than another process on the same host.
     *
     * @param startedAtMillis when the other process started, by the host's clock
     * @return true when the owner is the younger one
     */
    public boolean isOwnerYoungerThan(long startedAtMillis) {
        return ownerStartedAtMillis > startedAtMillis;
    }

    /**
     * Returns the number from which on every ownership record is the owner's.
     *
     * @return the offset of its first ownership record in an unbroken row, or -1
     */
    public long firstFencingOfOwner() {
        return firstFencingOfOwner;
    }

    /**
     * Returns whether an intent stands.
     *
     * @param order its order
     * @return true when its writer was the owner at its offset
     */
    public boolean isIntended(OrderId order) {
        return intents.containsKey(order);
    }

    /**
     * Returns the intents that stand, in offset order.
     *
     * @return the intents
     */
    public Map<OrderId, LogEntry.OrderIntent> intents() {
        return Map.copyOf(intents);
    }

    /**
     * Forgets an intent whose order can no longer take effect.
     *
     * @param order its order
     */
    public void forget(OrderId order) {
        intents.remove(order);
    }
}
