package org.tamaracktrack.core.placement;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.tamaracktrack.core.id.ModelId;
import org.tamaracktrack.core.log.LogEntry.Placement;

/**
 * Fills the memory with copies of all models in turn, regardless of demand. Afterwards only
 * replaces copies that were lost.
 */
public final class StaticPlacement implements PlacementPolicy {
    private boolean filled;

    private StaticPlacement() {}

    /**
     * Returns a static policy.
     *
     * @return the policy
     */
    public static StaticPlacement of() {
        return new StaticPlacement();
    }

    @Override
    public void improve(Layout layout, PlanningView view) {
        List<ModelId> unplaced = MinimumPlacement.ensure(layout, view);
        if (filled || !unplaced.isEmpty() || MinimumPlacement.usableEngines(view).isEmpty()) {
            return;
        }
        filled = true;
        while (addCopy(layout, view)) {
            filled = true;
        }
    }

    private static boolean addCopy(Layout layout, PlanningView view) {
        Optional<Placement> further =
                view.configuration().models().keySet().stream()
                        .sorted(
                                Comparator.comparingInt((ModelId model) -> layout.copyCount(model))
                                        .thenComparing(Comparator.naturalOrder()))
                        .map(model -> CopyCandidates.cheapestCopy(layout, view, model))
                        .flatMap(Optional::stream)
                        .findFirst();
        further.ifPresent(layout::put);
        return further.isPresent();
    }
}
