package org.tamaracktrack.core.dispatch;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.tamaracktrack.core.fleet.ModelNeed;
import org.tamaracktrack.core.id.ServiceId;

/**
 * The properties of a request by which a target is selected.
 *
 * @param service the service that the request is sent to
 * @param need the required model and adapter; empty for a plain service
 * @param promptTokens length of the prompt in tokens
 * @param parts the parts of the prompt, in order
 */
public record DispatchRequest(
        ServiceId service, Optional<ModelNeed> need, int promptTokens, List<PromptPart> parts) {

    /** Checks the arguments. */
    public DispatchRequest {
        Objects.requireNonNull(service, "service is null");
        Objects.requireNonNull(need, "need is null");
        parts = List.copyOf(parts);
    }
}
