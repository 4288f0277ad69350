package org.tamaracktrack.core.placement;

import java.util.Arrays;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import org.tamaracktrack.core.config.Configuration;

/**
 * Checks whether copies fit on the accelerators of a target. A copy is never split over several
 * accelerators.
 */
final class AcceleratorPacking {
    private static final int MAX_SEARCH_STEPS = 2_000;

    private final long[] free;
    private final long[] sizes;
    private int steps;

    private AcceleratorPacking(long[] free, long[] sizes) {
        this.free = free;
        this.sizes = sizes;
    }

    /**
     * Returns whether copies fit when they are placed in descending order of size, each on the
     * accelerator with the most free memory. Targets place copies in this way.
     *
     * @param accelerators the accelerators; memory set aside for KV cache is not available
     * @param mebibytes the size of each copy including its adapters
     * @return true if all copies fit
     */
    static boolean fitsLargestFirst(
            List<Configuration.Accelerator> accelerators, Collection<Long> mebibytes) {
        PriorityQueue<Long> free = new PriorityQueue<>(Comparator.reverseOrder());
        accelerators.forEach(
                accelerator ->
                        free.add(accelerator.memoryMebibytes() - accelerator.cacheMebibytes()));
        return mebibytes.stream()
                .sorted(Comparator.reverseOrder())
                .allMatch(size -> !free.isEmpty() && free.peek() >= size && allocate(free, size));
    }

    private static boolean allocate(PriorityQueue<Long> free, long size) {
        return free.add(free.remove() - size);
    }

    /**
     * Returns whether any arrangement of the copies fits. The search stops after a fixed number of
     * steps and then returns false.
     *
     * @param accelerators the accelerators; memory set aside for KV cache is not available
     * @param mebibytes the size of each copy including its adapters
     * @return true if all copies fit
     */
    static boolean fits(List<Configuration.Accelerator> accelerators, Collection<Long> mebibytes) {
        long[] free =
                accelerators.stream()
                        .mapToLong(
                                accelerator ->
                                        accelerator.memoryMebibytes()
                                                - accelerator.cacheMebibytes())
                        .toArray();
        long[] sizes = mebibytes.stream().mapToLong(Long::longValue).sorted().toArray();
        if (Arrays.stream(sizes).sum() > Arrays.stream(free).sum()) {
            return false;
        }
        return new AcceleratorPacking(free, sizes).place(sizes.length - 1);
    }

    // Tries the largest copy first, with backtracking. Placement in descending order without
    // backtracking is not monotonic: it may reject a subset of copies that fitted together with one
    // more, so that removing a copy would be reported as an invariant breach.
    private boolean place(int index) {
        if (index < 0) {
            return true;
        }
        for (int accelerator = 0;
                accelerator < free.length && steps < MAX_SEARCH_STEPS;
                accelerator++) {
            if (free[accelerator] >= sizes[index]) {
                steps++;
                free[accelerator] -= sizes[index];
                if (place(index - 1)) {
                    return true;
                }
                free[accelerator] += sizes[index];
            }
        }
        return false;
    }
}
