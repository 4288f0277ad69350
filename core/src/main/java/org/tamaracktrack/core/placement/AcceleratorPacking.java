package org.tamaracktrack.core.placement;

import java.util.Arrays;
import java.util.Collection;
import java.util.List;
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
     * Returns whether copies fit.
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

    // Largest first with backtracking: first-fit alone may refuse a subset of copies that it took
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
