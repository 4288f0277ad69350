package org.tamaracktrack.core.report;

import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import org.tamaracktrack.core.id.IncarnationId;

/**
 * The summed counters of all processes, and the time span for which they are complete.
 *
 * @param counters the sums by counter name
 * @param fromMillis the start of the span, in milliseconds since 1970
 * @param completeToMillis the time up to which every process that is not missing has reported, by
 *     the processes' clocks; empty when none ever reported
 * @param recordsLost whether records expired before any snapshot covered them, so that processes
 *     that ended before the span are not in the sums
 * @param missing the processes whose final counters are not known
 */
public record Report(
        Map<String, Long> counters,
        long fromMillis,
        OptionalLong completeToMillis,
        boolean recordsLost,
        List<MissingProcess> missing) {

    /** Copies the collections. */
    public Report {
        counters = Map.copyOf(counters);
        missing = List.copyOf(missing);
    }

    /**
     * A process that stopped reporting without a final record: the sums lack what it counted after
     * its last known record.
     *
     * @param incarnation the process
     * @param lastTakenMillis the time of its last known counters; empty when a snapshot no longer
     *     includes it
     */
    public record MissingProcess(IncarnationId incarnation, OptionalLong lastTakenMillis) {}

    /**
     * Returns whether the sums include everything that was counted in the span.
     *
     * @return true when no records were lost and no process is missing
     */
    public boolean isComplete() {
        return !recordsLost && missing.isEmpty();
    }
}
