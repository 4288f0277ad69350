package org.tamaracktrack.daemon.gateway;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import org.tamaracktrack.core.dispatch.PromptPart;
import org.tamaracktrack.core.fleet.ModelNeed;

/**
 * What a caller says of its request besides method, path and body.
 *
 * @param attempt the caller's name for this attempt; each has its own
 * @param waitMillis how long the caller waits, if it says so
 * @param need the model that the request names
 * @param promptTokens tokens in the prompt
 * @param parts the prompt's parts in order
 * @param resumeAfter the last event that the caller has of an earlier attempt's stream
 */
public record RequestFacts(
        String attempt,
        OptionalLong waitMillis,
        Optional<ModelNeed> need,
        int promptTokens,
        List<PromptPart> parts,
        Optional<String> resumeAfter) {

    /** Checks the arguments. */
    public RequestFacts {
        Objects.requireNonNull(attempt, "attempt is null");
        Objects.requireNonNull(waitMillis, "waitMillis is null");
        Objects.requireNonNull(need, "need is null");
        Objects.requireNonNull(resumeAfter, "resumeAfter is null");
        parts = List.copyOf(parts);
    }
}
