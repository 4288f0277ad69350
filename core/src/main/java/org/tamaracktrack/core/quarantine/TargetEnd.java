package org.tamaracktrack.core.quarantine;

import java.util.Objects;
import org.tamaracktrack.core.fleet.TargetIncarnation;

/**
 * A target ended while it had a request.
 *
 * @param request the request
 * @param target the target and its run
 * @param ran whether it is known to have run the request; otherwise the request may have waited
 */
public record TargetEnd(RequestFingerprint request, TargetIncarnation target, boolean ran) {

    /** Checks the arguments. */
    public TargetEnd {
        Objects.requireNonNull(request, "request is null");
        Objects.requireNonNull(target, "target is null");
    }
}
