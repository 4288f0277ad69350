package org.tamaracktrack.core.dispatch;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.tamaracktrack.core.fleet.ModelNeed;
import org.tamaracktrack.core.fleet.TargetEntry;
import org.tamaracktrack.core.id.ServiceId;
import org.tamaracktrack.core.id.SoftwareVersion;
import org.tamaracktrack.core.stream.StreamOrigin;

/**
 * The properties of a request by which a target is selected.
 *
 * @param service the service that the request is sent to
 * @param need the required model and adapter; empty for a plain service
 * @param promptTokens length of the prompt in tokens
 * @param parts the parts of the prompt, in order
 * @param version the software version that began the stream; what other versions write does not fit
 *     to it. Empty for a request without a response yet
 */
public record DispatchRequest(
        ServiceId service,
        Optional<ModelNeed> need,
        int promptTokens,
        List<PromptPart> parts,
        Optional<SoftwareVersion> version) {

    /** Checks the arguments. */
    public DispatchRequest {
        Objects.requireNonNull(service, "service is null");
        Objects.requireNonNull(need, "need is null");
        parts = List.copyOf(parts);
        Objects.requireNonNull(version, "version is null");
    }

    /**
     * Returns a request that any target of the service may run.
     *
     * @param service the service that the request is sent to
     * @param need the required model and adapter; empty for a plain service
     * @param promptTokens length of the prompt in tokens
     * @param parts the parts of the prompt, in order
     * @return the request
     */
    public static DispatchRequest of(
            ServiceId service, Optional<ModelNeed> need, int promptTokens, List<PromptPart> parts) {
        return new DispatchRequest(service, need, promptTokens, parts, Optional.empty());
    }

    /**
     * Returns the request to continue a stream.
     *
     * @param origin where it began
     * @return this request, for targets of that service and version only
     */
    public DispatchRequest continuing(StreamOrigin origin) {
        return new DispatchRequest(
                origin.service(), need, promptTokens, parts, Optional.of(origin.version()));
    }

    /**
     * Returns whether a target runs a software version that may run the request.
     *
     * @param entry the target
     * @return true unless another version began the stream
     */
    public boolean fitsVersionOf(TargetEntry entry) {
        return version.map(entry.version()::equals).orElse(true);
    }
}
