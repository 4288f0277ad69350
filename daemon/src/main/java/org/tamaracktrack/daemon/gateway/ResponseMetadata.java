package org.tamaracktrack.daemon.gateway;

import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import org.tamaracktrack.core.dispatch.ReportedLoad;

/**
 * What the head of a target's response states.
 *
 * @param attempt the attempt that it answers, if stated
 * @param verified whether it carries the target's proof that the response is its own
 * @param notRun whether the target states that it did not run the request
 * @param load the target's load
 * @param closesConnection whether the target closes the connection after this response
 * @param leaving whether the target states that it leaves
 * @param restMillis for how long the target, which refused the request, wants no further request of
 *     this daemon, in milliseconds, above 0; empty if it doesn't say so
 */
public record ResponseMetadata(
        Optional<String> attempt,
        boolean verified,
        boolean notRun,
        Optional<ReportedLoad> load,
        boolean closesConnection,
        boolean leaving,
        OptionalLong restMillis) {

    /** Checks the arguments. */
    public ResponseMetadata {
        Objects.requireNonNull(attempt, "attempt is null");
        Objects.requireNonNull(load, "load is null");
        if (restMillis.isPresent() && restMillis.getAsLong() <= 0) {
            throw new IllegalArgumentException("restMillis must be positive: " + restMillis);
        }
    }
}
