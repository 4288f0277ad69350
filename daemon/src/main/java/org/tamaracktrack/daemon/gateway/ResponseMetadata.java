package org.tamaracktrack.daemon.gateway;

import java.util.Objects;
import java.util.Optional;
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
 */
public record ResponseMetadata(
        Optional<String> attempt,
        boolean verified,
        boolean notRun,
        Optional<ReportedLoad> load,
        boolean closesConnection,
        boolean leaving) {

    /** Checks the arguments. */
    public ResponseMetadata {
        Objects.requireNonNull(attempt, "attempt is null");
        Objects.requireNonNull(load, "load is null");
    }
}
