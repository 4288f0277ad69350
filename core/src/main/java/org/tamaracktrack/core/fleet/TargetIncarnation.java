package org.tamaracktrack.core.fleet;

import java.util.Objects;
import org.tamaracktrack.core.id.TargetId;

/**
 * Identifies one run of a target. A target that restarts under its name is another incarnation,
 * which holds none of the models of the former one.
 *
 * @param target the target
 * @param startedAtMillis the time in milliseconds at which this run started, by the target's own
 *     clock
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
