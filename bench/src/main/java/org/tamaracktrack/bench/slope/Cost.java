package org.tamaracktrack.bench.slope;

import com.sun.management.ThreadMXBean;
import java.lang.management.ManagementFactory;
import java.util.Arrays;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/**
 * The cost of one call.
 *
 * @param medianMicros the median of the rounds
 * @param lowestMicros the lowest of the rounds
 * @param highestMicros the highest of the rounds
 * @param allocatedBytes allocated by one call
 */
record Cost(double medianMicros, double lowestMicros, double highestMicros, long allocatedBytes) {
    private static final int ROUNDS = 7;
    private static final long ROUND_NANOS = TimeUnit.MILLISECONDS.toNanos(80);
    private static final ThreadMXBean THREADS = (ThreadMXBean) ManagementFactory.getThreadMXBean();
    private static Object sink;

    /** Measures a call by the processor time of this thread, after as many rounds of warming up. */
    static Cost of(Supplier<?> call) {
        for (int round = 0; round < ROUNDS; round++) {
            round(call);
        }
        double[] micros = new double[ROUNDS];
        long allocated = 0;
        for (int round = 0; round < ROUNDS; round++) {
            Round one = round(call);
            micros[round] = one.micros();
            allocated = one.allocatedBytes();
        }
        Arrays.sort(micros);
        return new Cost(micros[ROUNDS / 2], micros[0], micros[ROUNDS - 1], allocated);
    }

    private record Round(double micros, long allocatedBytes) {}

    private static Round round(Supplier<?> call) {
        long allocatedBefore = THREADS.getCurrentThreadAllocatedBytes();
        long before = THREADS.getCurrentThreadCpuTime();
        int calls = 0;
        long now = before;
        while (now - before < ROUND_NANOS) {
            sink = call.get();
            calls++;
            now = THREADS.getCurrentThreadCpuTime();
        }
        long allocated = THREADS.getCurrentThreadAllocatedBytes() - allocatedBefore;
        return new Round((now - before) / 1e3 / calls, allocated / calls);
    }

    /** Returns the heap that an object holds, from the heap in use with it and without it. */
    static long retainedBytes(Supplier<?> make) {
        make.get();
        sink = null;
        long before = usedBytes();
        Object held = make.get();
        long after = usedBytes();
        sink = held;
        return after - before;
    }

    private static long usedBytes() {
        for (int pass = 0; pass < 3; pass++) {
            System.gc();
        }
        Runtime runtime = Runtime.getRuntime();
        return runtime.totalMemory() - runtime.freeMemory();
    }
}
