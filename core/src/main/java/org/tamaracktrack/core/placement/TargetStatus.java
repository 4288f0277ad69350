package org.tamaracktrack.core.placement;

import java.util.Set;
import org.tamaracktrack.core.id.AdapterId;
import org.tamaracktrack.core.id.ModelId;

/**
 * The last reported status of a target, as the planner uses it.
 *
 * @param reachable whether it can be reached
 * @param leaving whether it accepts no new requests
 * @param running the number of running requests
 * @param queued the number of waiting requests
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
     * Returns whether new copies can be placed on the target.
     *
     * @return true if it is reachable and not leaving
     */
    public boolean usable() {
        return reachable && !leaving;
    }
}
