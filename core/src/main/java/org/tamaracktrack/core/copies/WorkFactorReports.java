package org.tamaracktrack.core.copies;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.stream.Collectors;
import org.tamaracktrack.core.fleet.TargetIncarnation;

/**
 * Selects the work factors of engines that a daemon has to report to the holder of the duty: those
 * that changed, and all others after some seconds. Owned by the control thread.
 */
public final class WorkFactorReports {
    /** Factors are reported in multiples of 1 / 20, which is 0.05. */
    private static final double STEPS = 20;

    /** The time after which an unchanged factor is reported again, because reports can be lost. */
    private static final long REPEAT_MILLIS = 10_000;

    /**
     * Maximum number of factors in one report. With a report each second, the factors of 600
     * targets are repeated within about 10 s.
     */
    private static final int MAX_FACTORS = 64;

    private final Map<TargetIncarnation, Sent> sent = new HashMap<>();

    private record Sent(double workFactor, long atMillis) {}

    private WorkFactorReports() {}

    /**
     * Returns an instance that has reported nothing.
     *
     * @return the instance
     */
    public static WorkFactorReports empty() {
        return new WorkFactorReports();
    }

    /** Forgets what was reported, because another holder has to receive all factors. */
    public void clear() {
        sent.clear();
    }

    /**
     * Returns whether any factor has to be reported now.
     *
     * @param workFactors the current factor of each engine
     * @param nowMillis the monotonic time in milliseconds
     * @return true when {@link #take} would return any
     */
    public boolean isDue(Map<TargetIncarnation, Double> workFactors, long nowMillis) {
        return workFactors.entrySet().stream()
                .anyMatch(entry -> isDue(entry.getKey(), rounded(entry.getValue()), nowMillis));
    }

    /**
     * Returns the factors to report now, and records them as reported.
     *
     * @param workFactors the current factor of each engine
     * @param nowMillis the monotonic time in milliseconds
     * @return the rounded factors, at most 64, those reported the longest time ago first
     */
    public Map<TargetIncarnation, Double> take(
            Map<TargetIncarnation, Double> workFactors, long nowMillis) {
        sent.keySet().retainAll(workFactors.keySet());
        Map<TargetIncarnation, Double> due =
                workFactors.entrySet().stream()
                        .map(entry -> Map.entry(entry.getKey(), rounded(entry.getValue())))
                        .filter(entry -> isDue(entry.getKey(), entry.getValue(), nowMillis))
                        .sorted(Comparator.comparingLong(entry -> sentAtMillis(entry.getKey())))
                        .limit(MAX_FACTORS)
                        .collect(
                                Collectors.toUnmodifiableMap(
                                        Map.Entry::getKey, Map.Entry::getValue));
        due.forEach((engine, factor) -> sent.put(engine, new Sent(factor, nowMillis)));
        return due;
    }

    private static double rounded(double workFactor) {
        return Math.round(workFactor * STEPS) / STEPS;
    }

    private boolean isDue(TargetIncarnation engine, double workFactor, long nowMillis) {
        Sent last = sent.get(engine);
        return last == null
                || last.workFactor() != workFactor
                || nowMillis - last.atMillis() >= REPEAT_MILLIS;
    }

    private long sentAtMillis(TargetIncarnation engine) {
        Sent last = sent.get(engine);
        return last == null ? Long.MIN_VALUE : last.atMillis();
    }
}
