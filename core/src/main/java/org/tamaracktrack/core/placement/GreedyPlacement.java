package org.tamaracktrack.core.placement;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.tamaracktrack.core.id.ModelId;
import org.tamaracktrack.core.id.TargetId;
import org.tamaracktrack.core.log.LogEntry.Placement;

/** Gives the memory to the models with the most demand per copy, at each tick anew. */
public final class GreedyPlacement implements PlacementPolicy {
    private GreedyPlacement() {}

    /**
     * Returns the policy.
     *
     * @return the policy
     */
    public static GreedyPlacement of() {
        return new GreedyPlacement();
    }

    @Override
    public void improve(Layout layout, PlanningView view) {
        Layout before = layout.copy();
        before.placements().stream()
                .filter(copy -> layout.copies(copy.model()) > 1)
                .forEach(copy -> layout.remove(copy.model(), copy.target()));
        Homes.ensure(layout, view);
        boolean added = true;
        while (added) {
            added = addOne(layout, before, view);
        }
    }

    private static boolean addOne(Layout layout, Layout before, PlanningView view) {
        Optional<Placement> further =
                view.configuration().models().keySet().stream()
                        .filter(model -> slotsPerCopy(layout, view, model) > 0)
                        .sorted(
                                Comparator.comparingDouble(
                                        model -> -slotsPerCopy(layout, view, model)))
                        .map(model -> copy(layout, before, view, model))
                        .flatMap(Optional::stream)
                        .findFirst();
        further.ifPresent(layout::put);
        return further.isPresent();
    }

    private static double slotsPerCopy(Layout layout, PlanningView view, ModelId model) {
        return view.demand(model).slots() / Math.max(1, layout.copies(model));
    }

    private static Optional<Placement> copy(
            Layout layout, Layout before, PlanningView view, ModelId model) {
        List<TargetId> planned = before.homes(model);
        return Copies.fitting(layout, view, model).stream()
                .min(Comparator.comparing(copy -> !planned.contains(copy.target())));
    }
}
