package org.tamaracktrack.core.placement;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import org.tamaracktrack.core.id.ModelId;
import org.tamaracktrack.core.id.TargetId;
import org.tamaracktrack.core.log.LogEntry.Placement;

/**
 * Recomputes the additional copies on each call and gives free memory to the models with the
 * highest demand per copy.
 */
public final class GreedyPlacement implements PlacementPolicy {
    private record Candidate(ModelId model, double slotsPerCopy) {}

    private GreedyPlacement() {}

    /**
     * Returns a greedy policy.
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
                .filter(copy -> layout.copyCount(copy.model()) > 1)
                .forEach(copy -> layout.remove(copy.model(), copy.target()));
        MinimumPlacement.ensure(layout, view);
        fill(layout, before, view);
    }

    private static void fill(Layout layout, Layout before, PlanningView view) {
        PriorityQueue<Candidate> candidates =
                new PriorityQueue<>(
                        Comparator.comparingDouble(
                                        (Candidate candidate) -> -candidate.slotsPerCopy())
                                .thenComparing(Candidate::model));
        view.demand().keySet().stream()
                .filter(view.configuration().models()::containsKey)
                .map(model -> new Candidate(model, slotsPerCopy(layout, view, model)))
                .filter(candidate -> candidate.slotsPerCopy() > 0)
                .forEach(candidates::add);
        while (!candidates.isEmpty()) {
            ModelId model = candidates.remove().model();
            nextCopy(layout, before, view, model)
                    .ifPresent(
                            copy -> {
                                layout.put(copy);
                                candidates.add(
                                        new Candidate(model, slotsPerCopy(layout, view, model)));
                            });
        }
    }

    private static double slotsPerCopy(Layout layout, PlanningView view, ModelId model) {
        return view.demand(model).slots() / Math.max(1, layout.copyCount(model));
    }

    private static Optional<Placement> nextCopy(
            Layout layout, Layout before, PlanningView view, ModelId model) {
        List<TargetId> planned = before.targetsOf(model);
        return CopyCandidates.fittingCopies(layout, view, model).stream()
                .min(Comparator.comparing(copy -> !planned.contains(copy.target())));
    }
}
