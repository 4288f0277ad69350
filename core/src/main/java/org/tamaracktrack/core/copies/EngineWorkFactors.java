package org.tamaracktrack.core.copies;

import java.util.HashMap;
import java.util.Map;
import java.util.stream.Collectors;
import org.tamaracktrack.core.dispatch.WorkTime;
import org.tamaracktrack.core.fleet.TargetIncarnation;

/**
 * Keeps by which factor work takes longer than usual at each engine, as all daemons report it. Of
 * several reports on one incarnation the last one counts. Owned by the control thread.
 */
public final class EngineWorkFactors {
    /** Time for which a factor is used without another report: three times their interval. */
    private static final long VALIDITY_MILLIS = 30_000;

    private static final double PERCENT = 100;

    private final Map<TargetIncarnation, Entry> entries = new HashMap<>();

    private record Entry(double workFactor, long atMillis) {}

    private EngineWorkFactors() {}

    /**
     * Returns factors without any report.
     *
     * @return the factors
     */
    public static EngineWorkFactors empty() {
        return new EngineWorkFactors();
    }

    /**
     * Records the report of a daemon. Factors that no engine can have are ignored, and the others
     * are limited to the range that decisions use.
     *
     * @param workFactors the factor of each engine
     * @param nowMillis the monotonic time in milliseconds
     */
    public void record(Map<TargetIncarnation, Double> workFactors, long nowMillis) {
        workFactors.forEach(
                (engine, factor) ->
                        WorkTime.ofPercent(factor * PERCENT)
                                .map(WorkTime::factor)
                                .ifPresent(
                                        bounded ->
                                                entries.put(
                                                        engine, new Entry(bounded, nowMillis))));
    }

    /** Removes all reports, when this daemon no longer receives them. */
    public void clear() {
        entries.clear();
    }

    /**
     * Returns the known factors and removes expired ones.
     *
     * @param nowMillis the monotonic time in milliseconds
     * @return the factor of each engine with a recent report
     */
    public Map<TargetIncarnation, Double> current(long nowMillis) {
        entries.values().removeIf(entry -> nowMillis - entry.atMillis() > VALIDITY_MILLIS);
        return entries.entrySet().stream()
                .collect(
                        Collectors.toUnmodifiableMap(
                                Map.Entry::getKey, entry -> entry.getValue().workFactor()));
    }
}
