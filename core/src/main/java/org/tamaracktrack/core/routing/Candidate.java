package org.tamaracktrack.core.routing;

import java.util.Objects;
import java.util.Optional;
import org.tamaracktrack.core.id.TargetId;

/**
 * A target that an attempt may go to, and what is known of it.
 *
 * @param target the target
 * @param adapterResident whether the adapter is in memory, or none is asked for
 * @param distanceMillis the round trip to its data centre; 0 for the own one
 * @param concurrency how many requests it runs at once, 1 or more
 * @param hint what it last said of its load
 * @param ownOutstanding attempts of this daemon there that have not ended
 * @param unreported attempts of this daemon there that the hint does not count
 * @param serviceMillis the mean time of an attempt there, as this daemon saw it
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
     * A target's report of its load.
     *
     * @param waitMillis the estimated wait for the class asked for
     * @param outstanding requests running and queued there
     * @param ageMillis how long ago it arrived
     */
    public record Hint(long waitMillis, int outstanding, long ageMillis) {}
}
