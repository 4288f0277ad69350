package org.tamaracktrack.core.placement;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.tamaracktrack.core.id.ModelId;
import org.tamaracktrack.core.log.LogEntry.Placement;

/** Fills the memory with copies in turn, whatever the demand, and only replaces lost ones. */
public final class StaticPlacement implements PlacementPolicy {
    private boolean filled;

    private StaticPlacement() {}

    /**
     * Returns the policy.
     *
     * @return the policy
     */
    public static StaticPlacement of() {
        return new StaticPlacement();
    }

    @Override
    public void improve(Layout layout, PlanningView view) {
        List<ModelId> homeless = Homes.ensure(layout, view);
        if (filled || !homeless.isEmpty() || Homes.usable(view).isEmpty()) {
            return;
        }
        filled = true;
        while (addOne(layout, view)) {
            filled = true;
        }
    }

    private static boolean addOne(Layout layout, PlanningView view) {
        Optional<Placement> further =
                view.configuration().models().keySet().stream()
                        .sorted(
                                Comparator.comparingInt((ModelId model) -> layout.copies(model))
                                        .thenComparing(Comparator.naturalOrder()))
                        .map(model -> Copies.cheapest(layout, view, model))
                        .flatMap(Optional::stream)
                        .findFirst();
        further.ifPresent(layout::put);
        return further.isPresent();
    }
}
