package org.tamaracktrack.daemon.gateway;

import java.util.Objects;
import java.util.Optional;
import org.tamaracktrack.core.dispatch.ReportedLoad;

/**
 * What the head of a target's answer says.
 *
 * @param attempt the attempt that it answers, if it says so
 * @param proven whether it bears the target's proof that the answer is its own
 * @param notRun whether the target says that it did not run the request
 * @param load the target's load
 * @param closing whether the target closes the connection after this answer
 */
public record AnswerFacts(
        Optional<String> attempt,
        boolean proven,
        boolean notRun,
        Optional<ReportedLoad> load,
        boolean closing) {

    /** Checks the arguments. */
    public AnswerFacts {
        Objects.requireNonNull(attempt, "attempt is null");
        Objects.requireNonNull(load, "load is null");
    }
}
