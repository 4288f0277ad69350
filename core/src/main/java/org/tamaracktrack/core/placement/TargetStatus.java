package org.tamaracktrack.core.placement;

import java.util.Set;
import org.tamaracktrack.core.id.AdapterId;
import org.tamaracktrack.core.id.ModelId;

/**
 * What the planner last heard of a target.
 *
 * @param reachable whether it can be reached
 * @param leaving whether it takes no new work
 * @param running requests running
 * @param queued requests waiting
 * @param resident the models in memory and ready
 * @param adapters the adapters in memory and ready
 * @param loading the models being loaded
 */
public record TargetStatus(
        boolean reachable,
        boolean leaving,
        int running,
        int queued,
        Set<ModelId> resident,
        Set<AdapterId> adapters,
        Set<ModelId> loading) {

    /** Copies the sets. */
    public TargetStatus {
        resident = Set.copyOf(resident);
        adapters = Set.copyOf(adapters);
        loading = Set.copyOf(loading);
    }

    /**
     * Returns whether new copies may be placed on it.
     *
     * @return true when it is reachable and stays
     */
    public boolean usable() {
        return reachable && !leaving;
    }
}
