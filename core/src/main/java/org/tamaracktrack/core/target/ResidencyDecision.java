package org.tamaracktrack.core.target;

import java.util.List;
import java.util.Set;
import org.tamaracktrack.core.admission.Need;
import org.tamaracktrack.core.id.ModelId;

/**
 * What is to change in an engine's memory.
 *
 * @param changes the changes to order now, in order
 * @param impossible needs of waiting requests for which no room can be made
 * @param heldBack models for which no request is started, because a change waits for those running
 */
public record ResidencyDecision(
        List<Change> changes, List<Need> impossible, Set<ModelId> heldBack) {

    /** Copies the collections. */
    public ResidencyDecision {
        changes = List.copyOf(changes);
        impossible = List.copyOf(impossible);
        heldBack = Set.copyOf(heldBack);
    }
}
