package org.tamaracktrack.core.dispatch;

import java.util.Objects;
import java.util.Optional;

/**
 * The load that a target last reported.
 *
 * @param running requests that it executes
 * @param waiting requests that wait in its queue
 * @param workTime how long work takes on its machine; empty when it does not report this
 */
public record ReportedLoad(int running, int waiting, Optional<WorkTime> workTime) {
    private static final ReportedLoad NONE = of(0, 0);

    /** Checks the arguments. */
    public ReportedLoad {
        Objects.requireNonNull(workTime, "workTime is null");
        if (running < 0 || waiting < 0) {
            throw new IllegalArgumentException("running or waiting is negative");
        }
    }

    /**
     * Returns a report without a work time.
     *
     * @param running requests that the target executes
     * @param waiting requests that wait in its queue
     * @return the report
     */
    public static ReportedLoad of(int running, int waiting) {
        return new ReportedLoad(running, waiting, Optional.empty());
    }

    /**
     * Returns the report of a target without requests.
     *
     * @return the empty report
     */
    public static ReportedLoad empty() {
        return NONE;
    }
}
