package org.tamaracktrack.core.quarantine;

import java.util.Objects;
import org.tamaracktrack.core.fleet.TargetIncarnation;

/**
 * The end of a target while a suspect was there.
 *
 * @param suspect the request, or a part of its prompt
 * @param target the target and its incarnation
 * @param ran for a request, whether the target is known to have run it; for a part, whether the
 *     target was beginning to answer a prompt with it. Otherwise it may only have waited there
 */
public record TargetEnd(Suspect suspect, TargetIncarnation target, boolean ran) {

    /** Checks the arguments. */
    public TargetEnd {
        Objects.requireNonNull(suspect, "suspect is null");
        Objects.requireNonNull(target, "target is null");
    }
}
