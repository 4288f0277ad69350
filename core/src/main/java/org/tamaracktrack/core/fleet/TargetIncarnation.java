package org.tamaracktrack.core.fleet;

import java.util.Objects;
import org.tamaracktrack.core.id.TargetId;

/**
 * One run of a target. A target that starts again under its name is another incarnation: it holds
 * and knows nothing of before.
 *
 * @param target the target
 * @param startedAtMillis when this run started, by the target's own clock
 */
public record TargetIncarnation(TargetId target, long startedAtMillis) {

    /** Checks the arguments. */
    public TargetIncarnation {
        Objects.requireNonNull(target, "target is null");
    }

    @Override
    public String toString() {
        return target + "@" + startedAtMillis;
    }
}
