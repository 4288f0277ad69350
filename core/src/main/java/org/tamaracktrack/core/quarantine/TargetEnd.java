package org.tamaracktrack.core.quarantine;

import java.util.Objects;
import org.tamaracktrack.core.fleet.TargetIncarnation;

/**
 * The end of a target while a request was in progress there.
 *
 * @param request the request
 * @param target the target and its incarnation
 * @param ran whether the target is known to have run the request; otherwise the request may only
 *     have waited there
 */
public record TargetEnd(RequestFingerprint request, TargetIncarnation target, boolean ran) {

    /** Checks the arguments. */
    public TargetEnd {
        Objects.requireNonNull(request, "request is null");
        Objects.requireNonNull(target, "target is null");
    }
}
