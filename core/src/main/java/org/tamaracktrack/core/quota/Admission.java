package org.tamaracktrack.core.quota;

import java.util.Objects;

/**
 * The decision about one request.
 *
 * @param outcome the decision
 * @param retryAfterMillis when the request will have room, in milliseconds; 0 when unknown
 * @param waitedMillis how long the decision took
 * @param coordinator the address of the coordinator that decided; a dash for none
 */
public record Admission(
        Outcome outcome, long retryAfterMillis, long waitedMillis, String coordinator) {

    /** Checks the arguments. */
    public Admission {
        Objects.requireNonNull(outcome, "outcome is null");
        Objects.requireNonNull(coordinator, "coordinator is null");
    }

    /** What was decided. */
    public enum Outcome {
        /** The quota has room, which is now taken. */
        ADMITTED,
        /** The quota has no room. */
        OVER_LIMIT,
        /** No coordinator answered in time. */
        UNDECIDED
    }
}
