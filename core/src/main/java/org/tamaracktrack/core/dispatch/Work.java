package org.tamaracktrack.core.dispatch;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.tamaracktrack.core.fleet.ModelNeed;
import org.tamaracktrack.core.id.ServiceId;

/**
 * What a target has to do for one request.
 *
 * @param service where the request goes
 * @param need the model; empty for a plain service
 * @param promptTokens tokens to read
 * @param parts the prompt's parts in order
 */
public record Work(
        ServiceId service, Optional<ModelNeed> need, int promptTokens, List<PromptPart> parts) {

    /** Checks the arguments. */
    public Work {
        Objects.requireNonNull(service, "service is null");
        Objects.requireNonNull(need, "need is null");
        parts = List.copyOf(parts);
    }
}
