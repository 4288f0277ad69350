package org.tamaracktrack.bench.slope;

import com.sun.management.ThreadMXBean;
import java.lang.management.ManagementFactory;
import java.util.Arrays;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/**
 * The cost of one call, averaged over the calls of a round.
 *
 * @param medianMicros the median of the processor times of the rounds in microseconds
 * @param lowestMicros the lowest processor time of the rounds in microseconds
 * @param highestMicros the highest processor time of the rounds in microseconds
 * @param allocatedBytes the heap memory allocated by one call of the last round in bytes
 */
record CallCost(
        double medianMicros, double lowestMicros, double highestMicros, long allocatedBytes) {
    private static final int ROUNDS = 7;
    private static final long MIN_ROUND_NANOS = TimeUnit.MILLISECONDS.toNanos(80);
    private static final ThreadMXBean THREADS = (ThreadMXBean) ManagementFactory.getThreadMXBean();
    private static Object sink;

    /**
     * Measures a call by the processor time of the calling thread, after a warm-up of as many
     * rounds as are measured.
     */
    static CallCost measure(Supplier<?> call) {
        for (int round = 0; round < ROUNDS; round++) {
            measureRound(call);
        }
        double[] micros = new double[ROUNDS];
        long allocatedBytes = 0;
        for (int round = 0; round < ROUNDS; round++) {
            Round measured = measureRound(call);
            micros[round] = measured.micros();
            allocatedBytes = measured.allocatedBytes();
        }
        Arrays.sort(micros);
        return new CallCost(micros[ROUNDS / 2], micros[0], micros[ROUNDS - 1], allocatedBytes);
    }

    private record Round(double micros, long allocatedBytes) {}

    private static Round measureRound(Supplier<?> call) {
        long allocatedBytesBefore = THREADS.getCurrentThreadAllocatedBytes();
        long startNanos = THREADS.getCurrentThreadCpuTime();
        int calls = 0;
        long nowNanos = startNanos;
        while (nowNanos - startNanos < MIN_ROUND_NANOS) {
            sink = call.get();
            calls++;
            nowNanos = THREADS.getCurrentThreadCpuTime();
        }
        long allocatedBytes = THREADS.getCurrentThreadAllocatedBytes() - allocatedBytesBefore;
        return new Round((nowNanos - startNanos) / 1e3 / calls, allocatedBytes / calls);
    }

    /**
     * Returns the heap memory in bytes that an object retains, as the difference of the heap in use
     * with and without it. The median of several rounds is used, because other objects that become
     * garbage during a round distort its result.
     */
    static long retainedBytes(Supplier<?> factory) {
        long[] bytes = new long[ROUNDS];
        for (int round = 0; round < ROUNDS; round++) {
            sink = null;
            long bytesBefore = usedHeapBytes();
            sink = factory.get();
            bytes[round] = usedHeapBytes() - bytesBefore;
        }
        Arrays.sort(bytes);
        return bytes[ROUNDS / 2];
    }

    private static long usedHeapBytes() {
        for (int pass = 0; pass < 3; pass++) {
            System.gc();
        }
        Runtime runtime = Runtime.getRuntime();
        return runtime.totalMemory() - runtime.freeMemory();
    }
}
