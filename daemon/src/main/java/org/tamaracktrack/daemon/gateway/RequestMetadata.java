package org.tamaracktrack.daemon.gateway;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import org.tamaracktrack.core.dispatch.PromptPart;
import org.tamaracktrack.core.fleet.ModelNeed;

/**
 * What a caller states about its request besides method, path and body.
 *
 * @param attempt the caller's id of this attempt; each attempt has its own
 * @param waitMillis how long the caller waits, if stated
 * @param need the model that the request names
 * @param promptTokens the number of tokens in the prompt
 * @param totalTokens the number of prompt tokens and the maximum number of output tokens together,
 *     if stated
 * @param parts the prompt's parts in order
 * @param lastEventId the last event that the caller received from an earlier attempt's stream
 * @param resumedAttempt the attempt that brought the first event of the stream that the request
 *     continues, if stated
 */
public record RequestMetadata(
        String attempt,
        OptionalLong waitMillis,
        Optional<ModelNeed> need,
        int promptTokens,
        OptionalLong totalTokens,
        List<PromptPart> parts,
        Optional<String> lastEventId,
        Optional<String> resumedAttempt) {

    /** Checks the arguments. */
    public RequestMetadata {
        Objects.requireNonNull(attempt, "attempt is null");
        Objects.requireNonNull(waitMillis, "waitMillis is null");
        Objects.requireNonNull(need, "need is null");
        Objects.requireNonNull(totalTokens, "totalTokens is null");
        Objects.requireNonNull(lastEventId, "lastEventId is null");
        Objects.requireNonNull(resumedAttempt, "resumedAttempt is null");
        parts = List.copyOf(parts);
    }

    /**
     * Returns the parts of the prompt that other requests may share: all but the last, which
     * belongs to the request or its session.
     *
     * @return the parts
     */
    public List<PromptPart> sharedParts() {
        return parts.isEmpty() ? parts : parts.subList(0, parts.size() - 1);
    }
}
