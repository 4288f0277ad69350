package org.tamaracktrack.core.placement;

import java.util.Arrays;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import org.tamaracktrack.core.config.Configuration;

/** Whether copies fit on the accelerators of a target, each copy whole on one of them. */
final class AcceleratorPacking {
    private static final int MAXIMUM_STEPS = 2_000;

    private final long[] free;
    private final long[] sizes;
    private int steps;

    private AcceleratorPacking(long[] free, long[] sizes) {
        this.free = free;
        this.sizes = sizes;
    }

    /**
     * Returns whether copies fit when the largest goes first, each to the accelerator with the most
     * room, which is how targets place them.
     *
     * @param accelerators the accelerators; memory set aside for KV cache is not available
     * @param mebibytes the size of each copy, its adapters included
     * @return true when they fit
     */
    static boolean fitsInOrder(
            List<Configuration.Accelerator> accelerators, Collection<Long> mebibytes) {
        PriorityQueue<Long> free = new PriorityQueue<>(Comparator.reverseOrder());
        accelerators.forEach(one -> free.add(one.memoryMebibytes() - one.cacheMebibytes()));
        return mebibytes.stream()
                .sorted(Comparator.reverseOrder())
                .allMatch(size -> !free.isEmpty() && free.peek() >= size && take(free, size));
    }

    private static boolean take(PriorityQueue<Long> free, long size) {
        return free.add(free.remove() - size);
    }

    /**
     * Returns whether copies fit in any arrangement.
     *
     * @param accelerators the accelerators; memory set aside for KV cache is not available
     * @param mebibytes the size of each copy, its adapters included
     * @return true when they fit
     */
    static boolean fits(List<Configuration.Accelerator> accelerators, Collection<Long> mebibytes) {
        long[] free =
                accelerators.stream()
                        .mapToLong(one -> one.memoryMebibytes() - one.cacheMebibytes())
                        .toArray();
        long[] sizes = mebibytes.stream().mapToLong(Long::longValue).sorted().toArray();
        if (Arrays.stream(sizes).sum() > Arrays.stream(free).sum()) {
            return false;
        }
        return new AcceleratorPacking(free, sizes).place(sizes.length - 1);
    }

    // Largest first with backtracking: placing in order alone may refuse a subset of copies that it
    // took
    // with one more, which would read as a breach when a copy is dropped.
    private boolean place(int index) {
        if (index < 0) {
            return true;
        }
        for (int at = 0; at < free.length && steps < MAXIMUM_STEPS; at++) {
            if (free[at] >= sizes[index]) {
                steps++;
                free[at] -= sizes[index];
                if (place(index - 1)) {
                    return true;
                }
                free[at] += sizes[index];
            }
        }
        return false;
    }
}
