package org.tamaracktrack.core.report;

import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import org.tamaracktrack.core.id.IncarnationId;

/**
 * Who got what, and for which span that is known.
 *
 * @param counters the sums by counter name
 * @param fromMillis the start of the span
 * @param completeToMillis every process that is not missing has reported up to this time, by the
 *     processes' clocks; empty when none ever reported
 * @param recordsLost whether records expired before any snapshot covered them, so that processes
 *     that ended before the span are not in the sums
 * @param missing processes whose last counters are not known
 */
public record Report(
        Map<String, Long> counters,
        long fromMillis,
        OptionalLong completeToMillis,
        boolean recordsLost,
        List<Missing> missing) {

    /** Copies the collections. */
    public Report {
        counters = Map.copyOf(counters);
        missing = List.copyOf(missing);
    }

    /**
     * A process that stopped reporting without a last record: what it counted after its last known
     * record is not in the sums.
     *
     * @param incarnation the process
     * @param lastTakenMillis up to when its counters are known; empty when a snapshot no longer
     *     says
     */
    public record Missing(IncarnationId incarnation, OptionalLong lastTakenMillis) {}

    /**
     * Returns whether the sums leave nothing out of the span.
     *
     * @return true when nothing is missing
     */
    public boolean complete() {
        return !recordsLost && missing.isEmpty();
    }
}
