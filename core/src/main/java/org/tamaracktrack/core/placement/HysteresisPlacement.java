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
 * Adds a copy where demand asks for one and it pays for its moves, and drops one only to make room.
 *
 * <p>A change pays when the requests that it lets be served within the payback time outweigh its
 * moves times the operator's weight of a move, and goes on doing so for longer than the moves take.
 */
public final class HysteresisPlacement implements PlacementPolicy {
    private static final int CHANGES_PER_TICK = 4;
    private static final int MODELS_CONSIDERED = 12;
    private static final double LEAST_LOST_PER_SECOND = 0.01;
    private static final long LOAD_MILLIS = 5_000;

    private final long paybackMillis;
    private final double patience;
    private final Map<ModelId, Long> payingSince = new HashMap<>();

    /** A further copy, what has to go for it, and what it is worth. */
    private record Change(Placement added, List<ModelId> dropped, int moves, double worth) {}

    private HysteresisPlacement(long paybackMillis, double patience) {
        this.paybackMillis = paybackMillis;
        this.patience = patience;
    }

    /**
     * Returns the policy.
     *
     * @param paybackMillis the time over which the gain of a copy is weighed against its moves
     * @param patience how long a change has to pay before it is made, in times of what its moves
     *     take
     * @return the policy
     */
    public static HysteresisPlacement of(long paybackMillis, double patience) {
        return new HysteresisPlacement(paybackMillis, patience);
    }

    @Override
    public void improve(Layout layout, PlanningView view) {
        if (!Homes.ensure(layout, view).isEmpty()) {
            return;
        }
        ExpectedService service = ExpectedService.of(layout, view);
        List<ModelId> busiest = busiest(service, view);
        payingSince.keySet().retainAll(busiest);
        int changes = 0;
        for (ModelId model : busiest) {
            if (changes < CHANGES_PER_TICK && improve(layout, view, service, model)) {
                changes++;
                service = ExpectedService.of(layout, view);
            }
        }
    }

    private static List<ModelId> busiest(ExpectedService service, PlanningView view) {
        Map<ModelId, Double> lost = new HashMap<>();
        view.demand().keySet().stream()
                .filter(view.configuration().models()::containsKey)
                .forEach(model -> lost.put(model, service.lost(model)));
        return lost.entrySet().stream()
                .filter(one -> one.getValue() > LEAST_LOST_PER_SECOND)
                .sorted(
                        Map.Entry.<ModelId, Double>comparingByValue()
                                .reversed()
                                .thenComparing(Map.Entry.comparingByKey()))
                .limit(MODELS_CONSIDERED)
                .map(Map.Entry::getKey)
                .toList();
    }

    private boolean improve(
            Layout layout, PlanningView view, ExpectedService service, ModelId model) {
        Optional<Change> best =
                Copies.apart(layout, view, model).stream()
                        .flatMap(target -> change(layout, view, service, model, target).stream())
                        .filter(change -> change.worth() > 0)
                        .max(Comparator.comparingDouble(Change::worth));
        if (best.isEmpty()) {
            payingSince.remove(model);
            return false;
        }
        if (!paidLongEnough(view, model, best.get())) {
            return false;
        }
        apply(layout, best.get());
        return true;
    }

    // Demand that rises and falls within the time of a load would have every peak answered by a
    // copy
    // that comes too late and then costs another move; a change that has paid for longer than its
    // moves take is likely to go on paying.
    private boolean paidLongEnough(PlanningView view, ModelId model, Change change) {
        long since = payingSince.computeIfAbsent(model, unused -> view.nowMillis());
        double loadsPerSecond = view.configuration().weightStore().loadsPerSecond();
        long takesMillis = LOAD_MILLIS + (long) (1_000 * change.moves() / loadsPerSecond);
        return change.moves() == 0 || view.nowMillis() - since >= patience * takesMillis;
    }

    private static void apply(Layout layout, Change change) {
        TargetId target = change.added().target();
        change.dropped().forEach(model -> layout.remove(model, target));
        layout.put(change.added());
    }

    private Optional<Change> change(
            Layout layout,
            PlanningView view,
            ExpectedService service,
            ModelId model,
            TargetId target) {
        Placement added = layout.whole(model, target, MoveCause.DEMAND);
        return roomFor(layout, view, added)
                .map(
                        dropped -> {
                            int moves = loads(view, added) + unloads(layout, dropped, target);
                            double served =
                                    service.gain(model, target, dropped) * paybackMillis / 1_000;
                            return new Change(
                                    added,
                                    dropped,
                                    moves,
                                    served - view.configuration().moveCost() * moves);
                        });
    }

    /** Returns the models that have to go; empty when there is no room whatever goes. */
    private static Optional<List<ModelId>> roomFor(
            Layout layout, PlanningView view, Placement added) {
        List<Placement> left = new ArrayList<>(layout.on(added.target()));
        left.add(added);
        List<ModelId> dropped = new ArrayList<>();
        List<Placement> extras =
                layout.on(added.target()).stream()
                        .filter(copy -> layout.copies(copy.model()) > 1)
                        .sorted(
                                Comparator.comparingDouble(
                                        copy -> worthKeeping(layout, view, copy.model())))
                        .toList();
        for (Placement extra : extras) {
            if (layout.fitsInOrder(added.target(), left)) {
                break;
            }
            left.remove(extra);
            dropped.add(extra.model());
        }
        return layout.fitsInOrder(added.target(), left) ? Optional.of(dropped) : Optional.empty();
    }

    private static double worthKeeping(Layout layout, PlanningView view, ModelId model) {
        ModelDemand demand = view.demand(model);
        return Math.max(demand.slots(), demand.lastingSlots()) / layout.copies(model);
    }

    private static int loads(PlanningView view, Placement added) {
        TargetStatus status = view.targets().get(added.target());
        int model =
                Stream.of(status.resident(), status.loading())
                                .anyMatch(models -> models.contains(added.model()))
                        ? 0
                        : 1;
        long adapters =
                added.adapters().stream().filter(one -> !status.adapters().contains(one)).count();
        return model + (int) adapters;
    }

    private static int unloads(Layout layout, List<ModelId> dropped, TargetId target) {
        return dropped.stream()
                .flatMap(model -> layout.get(model, target).stream())
                .mapToInt(copy -> 1 + copy.adapters().size())
                .sum();
    }
}
