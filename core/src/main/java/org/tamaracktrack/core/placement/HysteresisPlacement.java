package org.tamaracktrack.core.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;
import org.tamaracktrack.core.id.ModelId;
import org.tamaracktrack.core.id.TargetId;
import org.tamaracktrack.core.log.LogEntry.Placement;
import org.tamaracktrack.core.report.MoveCause;

/**
 * Adds copies of models with rejected demand if the benefit exceeds the cost of the moves, and
 * removes copies only to make room.
 *
 * <p>A change is profitable if the additional requests served within the payback time exceed the
 * number of moves times the configured cost of a move. It is made once it has been profitable for
 * longer than its moves take.
 */
public final class HysteresisPlacement implements PlacementPolicy {
    private static final int MAX_CHANGES_PER_TICK = 4;
    private static final int MAX_MODELS_PER_TICK = 12;
    private static final double MIN_LOST_PER_SECOND = 0.01;
    private static final long EXPECTED_LOAD_MILLIS = 5_000;

    private final long paybackMillis;
    private final double persistenceFactor;
    private final Map<ModelId, Long> profitableSince = new HashMap<>();

    /** An additional copy, the models removed from its target to make room, and the net gain. */
    private record CopyChange(Placement added, List<ModelId> removed, int moves, double netGain) {}

    private HysteresisPlacement(long paybackMillis, double persistenceFactor) {
        this.paybackMillis = paybackMillis;
        this.persistenceFactor = persistenceFactor;
    }

    /**
     * Returns a policy with hysteresis.
     *
     * @param paybackMillis the time over which the additional requests served are weighed against
     *     the cost of the moves
     * @param persistenceFactor how long a change must be profitable before it is made, as a
     *     multiple of the expected duration of its moves
     * @return the policy
     */
    public static HysteresisPlacement of(long paybackMillis, double persistenceFactor) {
        return new HysteresisPlacement(paybackMillis, persistenceFactor);
    }

    @Override
    public void improve(Layout layout, PlanningView view) {
        if (!MinimumPlacement.ensure(layout, view).isEmpty()) {
            return;
        }
        ExpectedLoss expectedLoss = ExpectedLoss.of(layout, view);
        List<ModelId> models = modelsWithMostLoss(expectedLoss, view);
        profitableSince.keySet().retainAll(models);
        int changes = 0;
        for (ModelId model : models) {
            if (changes < MAX_CHANGES_PER_TICK && improve(layout, view, expectedLoss, model)) {
                changes++;
                expectedLoss = ExpectedLoss.of(layout, view);
            }
        }
    }

    private static List<ModelId> modelsWithMostLoss(ExpectedLoss expectedLoss, PlanningView view) {
        Map<ModelId, Double> lost = new HashMap<>();
        view.demand().keySet().stream()
                .filter(view.configuration().models()::containsKey)
                .forEach(model -> lost.put(model, expectedLoss.lostPerSecond(model)));
        return lost.entrySet().stream()
                .filter(entry -> entry.getValue() > MIN_LOST_PER_SECOND)
                .sorted(
                        Map.Entry.<ModelId, Double>comparingByValue()
                                .reversed()
                                .thenComparing(Map.Entry.comparingByKey()))
                .limit(MAX_MODELS_PER_TICK)
                .map(Map.Entry::getKey)
                .toList();
    }

    private boolean improve(
            Layout layout, PlanningView view, ExpectedLoss expectedLoss, ModelId model) {
        Optional<CopyChange> best =
                CopyCandidates.targetsBySeparation(layout, view, model).stream()
                        .flatMap(
                                target ->
                                        change(layout, view, expectedLoss, model, target).stream())
                        .filter(change -> change.netGain() > 0)
                        .max(Comparator.comparingDouble(CopyChange::netGain));
        if (best.isEmpty()) {
            profitableSince.remove(model);
            return false;
        }
        if (!isProfitableLongEnough(view, model, best.get())) {
            return false;
        }
        apply(layout, best.get());
        return true;
    }

    // Demand that rises and falls within the time of a load would cause a copy for every peak,
    // which is ready too late and then costs another move. A change that has been profitable for
    // longer than its moves take is likely to remain so.
    private boolean isProfitableLongEnough(PlanningView view, ModelId model, CopyChange change) {
        long since = profitableSince.computeIfAbsent(model, unused -> view.nowMillis());
        double loadsPerSecond = view.configuration().weightStore().loadsPerSecond();
        long expectedMillis =
                EXPECTED_LOAD_MILLIS + (long) (1_000 * change.moves() / loadsPerSecond);
        return change.moves() == 0
                || view.nowMillis() - since >= persistenceFactor * expectedMillis;
    }

    private static void apply(Layout layout, CopyChange change) {
        TargetId target = change.added().target();
        change.removed().forEach(model -> layout.remove(model, target));
        layout.put(change.added());
    }

    private Optional<CopyChange> change(
            Layout layout,
            PlanningView view,
            ExpectedLoss expectedLoss,
            ModelId model,
            TargetId target) {
        Placement added = layout.copyWithAllAdapters(model, target, MoveCause.DEMAND);
        return modelsToRemove(layout, view, added)
                .map(
                        removed -> {
                            int moves = loads(view, added) + unloads(layout, removed, target);
                            double additionallyServed =
                                    expectedLoss.gain(model, target, removed)
                                            * paybackMillis
                                            / 1_000;
                            return new CopyChange(
                                    added,
                                    removed,
                                    moves,
                                    additionallyServed - view.configuration().moveCost() * moves);
                        });
    }

    /**
     * Returns the models to remove to make room; empty if removing all candidates is not enough.
     */
    private static Optional<List<ModelId>> modelsToRemove(
            Layout layout, PlanningView view, Placement added) {
        List<Placement> remaining = new ArrayList<>(layout.copiesOn(added.target()));
        remaining.add(added);
        List<ModelId> removed = new ArrayList<>();
        List<Placement> removable =
                layout.copiesOn(added.target()).stream()
                        .filter(copy -> layout.copyCount(copy.model()) > 1)
                        .sorted(
                                Comparator.comparingDouble(
                                        copy -> demandPerCopy(layout, view, copy.model())))
                        .toList();
        for (Placement candidate : removable) {
            if (layout.fitsLargestFirst(added.target(), remaining)) {
                break;
            }
            remaining.remove(candidate);
            removed.add(candidate.model());
        }
        return layout.fitsLargestFirst(added.target(), remaining)
                ? Optional.of(removed)
                : Optional.empty();
    }

    private static double demandPerCopy(Layout layout, PlanningView view, ModelId model) {
        ModelDemand demand = view.demand(model);
        return Math.max(demand.slots(), demand.longTermSlots()) / layout.copyCount(model);
    }

    private static int loads(PlanningView view, Placement added) {
        TargetStatus status = view.targets().get(added.target());
        int model =
                Stream.of(status.resident(), status.loading())
                                .anyMatch(models -> models.contains(added.model()))
                        ? 0
                        : 1;
        long adapters =
                added.adapters().stream()
                        .filter(adapter -> !status.adapters().contains(adapter))
                        .count();
        return model + (int) adapters;
    }

    private static int unloads(Layout layout, List<ModelId> removed, TargetId target) {
        return removed.stream()
                .flatMap(model -> layout.get(model, target).stream())
                .mapToInt(copy -> 1 + copy.adapters().size())
                .sum();
    }
}
