package org.tamaracktrack.core.routing;

import java.util.Objects;
import java.util.Optional;
import org.tamaracktrack.core.id.TargetId;

/**
 * Describes a target that an attempt may be sent to, with its estimated load.
 *
 * @param target the target
 * @param adapterResident whether the requested adapter is in memory; true when none is requested
 * @param distanceMillis the round trip to its data centre in milliseconds; 0 for the local one
 * @param concurrency the number of requests that it runs at the same time, at least 1
 * @param hint its latest load report
 * @param ownOutstanding the attempts of this daemon at the target that have not ended
 * @param unreported the attempts of this daemon at the target that the hint does not include
 * @param serviceMillis the mean time of an attempt at the target in milliseconds, as measured by
 *     this daemon
 */
public record Candidate(
        TargetId target,
        boolean adapterResident,
        long distanceMillis,
        int concurrency,
        Optional<Hint> hint,
        int ownOutstanding,
        int unreported,
        double serviceMillis) {

    /** Checks the arguments. */
    public Candidate {
        Objects.requireNonNull(target, "target is null");
        Objects.requireNonNull(hint, "hint is null");
    }

    /**
     * Holds the load that a target reported.
     *
     * @param waitMillis the estimated wait of the request class in milliseconds
     * @param outstanding the number of requests that run or are queued at the target
     * @param ageMillis the age of the report in milliseconds, counted from its arrival
     */
    public record Hint(long waitMillis, int outstanding, long ageMillis) {}
}
