package org.tamaracktrack.core.target;

import java.util.List;
import java.util.Set;
import org.tamaracktrack.core.admission.Need;
import org.tamaracktrack.core.id.ModelId;

/**
 * The decision on changes to the models and adapters in an engine's memory.
 *
 * @param changes the changes to order now, in order
 * @param unsatisfiable the needs of waiting requests for which no memory can be freed
 * @param heldBack the models on which no new request is started, because a change waits until their
 *     running requests end
 */
public record ResidencyDecision(
        List<ResidencyChange> changes, List<Need> unsatisfiable, Set<ModelId> heldBack) {

    /** Copies the collections. */
    public ResidencyDecision {
        changes = List.copyOf(changes);
        unsatisfiable = List.copyOf(unsatisfiable);
        heldBack = Set.copyOf(heldBack);
    }
}
