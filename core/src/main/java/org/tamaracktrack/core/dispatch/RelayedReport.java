package org.tamaracktrack.core.dispatch;

import java.util.Objects;
import org.tamaracktrack.core.fleet.TargetIncarnation;

/**
 * A load report of a target that one daemon passes on to another.
 *
 * @param target the incarnation that reported
 * @param load the report
 * @param ageMillis the time since the target sent it, in milliseconds
 */
public record RelayedReport(TargetIncarnation target, ReportedLoad load, long ageMillis) {

    /** Checks the arguments. */
    public RelayedReport {
        Objects.requireNonNull(target, "target is null");
        Objects.requireNonNull(load, "load is null");
        if (ageMillis < 0) {
            throw new IllegalArgumentException("ageMillis is negative");
        }
    }
}
