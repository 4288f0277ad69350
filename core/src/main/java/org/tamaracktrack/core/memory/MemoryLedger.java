package org.tamaracktrack.core.memory;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.TreeMap;
import org.tamaracktrack.core.error.ErrorCode;
import org.tamaracktrack.core.error.TamaracktrackException;
import org.tamaracktrack.core.id.AcceleratorId;
import org.tamaracktrack.core.id.OrderId;

/**
 * The memory of one target's accelerators. A load reserves before it is ordered; memory counts as
 * free again only when the engine reports that it is. The invariant is asserted on each change:
 * committed plus reserved never exceeds the capacity.
 */
public final class MemoryLedger {
    private final Map<AcceleratorId, Account> accounts = new TreeMap<>();
    private final Map<OrderId, Reservation> reservations = new LinkedHashMap<>();
    private final Map<OrderId, Reservation> inherited = new LinkedHashMap<>();

    private record Account(long capacity, long committed) {}

    private record Reservation(AcceleratorId accelerator, long mebibytes) {}

    private MemoryLedger() {}

    /**
     * Returns a ledger that knows no accelerator, so nothing can be reserved.
     *
     * @return the ledger
     */
    public static MemoryLedger empty() {
        return new MemoryLedger();
    }

    /**
     * Takes in what the engine reports of an accelerator. Cache space is part of what is committed.
     *
     * @param accelerator the accelerator
     * @param capacityMebibytes its memory
     * @param committedMebibytes what is in use or set aside
     * @throws TamaracktrackException with {@code INVARIANT_BREACH} when it does not fit with what
     *     is reserved; the report stands, so that nothing more can be reserved there
     */
    public void commit(AcceleratorId accelerator, long capacityMebibytes, long committedMebibytes) {
        Objects.requireNonNull(accelerator, "accelerator is null");
        accounts.put(accelerator, new Account(capacityMebibytes, committedMebibytes));
        check(accelerator);
    }

    /**
     * Reserves memory for an order that is about to be prepared.
     *
     * @param order the order
     * @param accelerator where
     * @param mebibytes how much
     * @return false when there is no room, and then nothing is reserved
     */
    public boolean reserve(OrderId order, AcceleratorId accelerator, long mebibytes) {
        Objects.requireNonNull(order, "order is null");
        if (mebibytes < 0 || free(accelerator) < mebibytes) {
            return false;
        }
        reservations.put(order, new Reservation(accelerator, mebibytes));
        check(accelerator);
        return true;
    }

    /**
     * Reserves memory for an order of a predecessor, whether or not there is room: the engine may
     * already have carried it out, and then its memory is counted twice until that is seen.
     *
     * @param order the order
     * @param accelerator where
     * @param mebibytes how much
     */
    public void inherit(OrderId order, AcceleratorId accelerator, long mebibytes) {
        Objects.requireNonNull(order, "order is null");
        inherited.put(order, new Reservation(accelerator, mebibytes));
    }

    /**
     * Releases what is reserved for an order, if anything is.
     *
     * @param order the order
     */
    public void release(OrderId order) {
        reservations.remove(order);
        inherited.remove(order);
    }

    /**
     * Returns how much memory is neither committed nor reserved.
     *
     * @param accelerator the accelerator
     * @return how much, 0 for an accelerator that is not known
     */
    public long free(AcceleratorId accelerator) {
        return Optional.ofNullable(accounts.get(accelerator))
                .map(
                        account ->
                                account.capacity()
                                        - account.committed()
                                        - sum(reservations, accelerator)
                                        - sum(inherited, accelerator))
                .map(free -> Math.max(0, free))
                .orElse(0L);
    }

    /**
     * Returns how much memory is free on each accelerator.
     *
     * @return the free memory
     */
    public Map<AcceleratorId, Long> free() {
        Map<AcceleratorId, Long> free = new HashMap<>();
        accounts.keySet().forEach(accelerator -> free.put(accelerator, free(accelerator)));
        return free;
    }

    private static long sum(Map<OrderId, Reservation> held, AcceleratorId accelerator) {
        return held.values().stream()
                .filter(reservation -> reservation.accelerator().equals(accelerator))
                .mapToLong(Reservation::mebibytes)
                .sum();
    }

    // Overcommitted memory shows as an engine that dies under load long after the order that caused
    // it. Asserted here, the change that caused it is known, and since a full account has nothing
    // free, no further load is ordered there.
    private void check(AcceleratorId accelerator) {
        Account account = accounts.get(accelerator);
        long reserved = sum(reservations, accelerator);
        if (account.committed() + reserved > account.capacity()) {
            throw TamaracktrackException.of(
                    ErrorCode.INVARIANT_BREACH,
                    "accelerator %s: committed %d and reserved %d exceed %d MiB"
                            .formatted(
                                    accelerator,
                                    account.committed(),
                                    reserved,
                                    account.capacity()));
        }
    }
}
