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
 * Accounts for the memory of the accelerators of one target. Memory for a load is reserved before
 * the load is ordered, and counts as free again only when the engine reports it as free. Each
 * change checks the invariant that committed plus reserved memory never exceeds the capacity.
 */
public final class MemoryLedger {
    private final Map<AcceleratorId, AcceleratorMemory> memoryByAccelerator = new TreeMap<>();
    private final Map<OrderId, Reservation> reservations = new LinkedHashMap<>();
    private final Map<OrderId, Reservation> inherited = new LinkedHashMap<>();

    private record AcceleratorMemory(long capacity, long committed) {}

    private record Reservation(AcceleratorId accelerator, long mebibytes) {}

    private MemoryLedger() {}

    /**
     * Returns a ledger without accelerators, in which nothing can be reserved.
     *
     * @return the ledger
     */
    public static MemoryLedger empty() {
        return new MemoryLedger();
    }

    /**
     * Updates the committed memory of an accelerator from a report of the engine. Committed memory
     * includes the memory set aside for KV cache.
     *
     * @param accelerator the accelerator
     * @param capacityMebibytes its capacity in MiB
     * @param committedMebibytes the memory in use or set aside in MiB
     * @throws TamaracktrackException with {@code INVARIANT_BREACH} if committed and reserved memory
     *     exceed the capacity; the update is kept, so that nothing more can be reserved there
     */
    public void updateCommitted(
            AcceleratorId accelerator, long capacityMebibytes, long committedMebibytes) {
        Objects.requireNonNull(accelerator, "accelerator is null");
        memoryByAccelerator.put(
                accelerator, new AcceleratorMemory(capacityMebibytes, committedMebibytes));
        checkInvariant(accelerator);
    }

    /**
     * Reserves memory for an order that is about to be prepared.
     *
     * @param order the order
     * @param accelerator the accelerator
     * @param mebibytes the memory in MiB
     * @return false if there is not enough free memory, in which case nothing is reserved
     */
    public boolean reserve(OrderId order, AcceleratorId accelerator, long mebibytes) {
        Objects.requireNonNull(order, "order is null");
        if (mebibytes < 0 || free(accelerator) < mebibytes) {
            return false;
        }
        reservations.put(order, new Reservation(accelerator, mebibytes));
        checkInvariant(accelerator);
        return true;
    }

    /**
     * Reserves memory for an order of a predecessor even if there is not enough free memory. The
     * engine may already have carried out the order; its memory is then counted twice until an
     * inventory shows it.
     *
     * @param order the order
     * @param accelerator the accelerator
     * @param mebibytes the memory in MiB
     */
    public void reserveInherited(OrderId order, AcceleratorId accelerator, long mebibytes) {
        Objects.requireNonNull(order, "order is null");
        inherited.put(order, new Reservation(accelerator, mebibytes));
    }

    /**
     * Releases the reservation of an order. Does nothing if there is none.
     *
     * @param order the order
     */
    public void release(OrderId order) {
        reservations.remove(order);
        inherited.remove(order);
    }

    /**
     * Returns the memory of an accelerator that is neither committed nor reserved.
     *
     * @param accelerator the accelerator
     * @return the free memory in MiB; 0 for an unknown accelerator
     */
    public long free(AcceleratorId accelerator) {
        return Optional.ofNullable(memoryByAccelerator.get(accelerator))
                .map(
                        memory ->
                                memory.capacity()
                                        - memory.committed()
                                        - reservedOn(reservations, accelerator)
                                        - reservedOn(inherited, accelerator))
                .map(free -> Math.max(0, free))
                .orElse(0L);
    }

    /**
     * Returns the free memory of all accelerators.
     *
     * @return the free memory in MiB by accelerator
     */
    public Map<AcceleratorId, Long> free() {
        Map<AcceleratorId, Long> free = new HashMap<>();
        memoryByAccelerator
                .keySet()
                .forEach(accelerator -> free.put(accelerator, free(accelerator)));
        return free;
    }

    private static long reservedOn(Map<OrderId, Reservation> entries, AcceleratorId accelerator) {
        return entries.values().stream()
                .filter(reservation -> reservation.accelerator().equals(accelerator))
                .mapToLong(Reservation::mebibytes)
                .sum();
    }

    // Overcommitted memory shows as an engine that fails under load long after the order that
    // caused it. Checking each change identifies the cause, and since an accelerator that is full
    // has no free memory, no further load is ordered there.
    private void checkInvariant(AcceleratorId accelerator) {
        AcceleratorMemory memory = memoryByAccelerator.get(accelerator);
        long reserved = reservedOn(reservations, accelerator);
        if (memory.committed() + reserved > memory.capacity()) {
            throw TamaracktrackException.of(
                    ErrorCode.INVARIANT_BREACH,
                    "accelerator %s: committed %d and reserved %d exceed %d MiB"
                            .formatted(
                                    accelerator, memory.committed(), reserved, memory.capacity()));
        }
    }
}
