package org.tamaracktrack.core.placement;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Stream;
import org.tamaracktrack.core.id.ModelId;
import org.tamaracktrack.core.id.TargetId;

/**
 * Estimates the requests per second that are rejected with a layout, and how many fewer would be
 * rejected after a change.
 *
 * <p>The demand for a model is split over its copies in proportion to the capacity that other
 * models leave on each target, which approximates routing by estimated wait. The loss of each
 * target follows from the Erlang B formula.
 */
final class ExpectedLoss {
    private static final int ASSIGNMENT_ROUNDS = 3;
    private static final double MIN_FREE_SHARE = 0.05;

    private final Layout layout;
    private final PlanningView view;
    private final Map<TargetId, TargetLoad> loads = new HashMap<>();
    private final Map<ModelId, Map<TargetId, Double>> splits = new HashMap<>();

    /** The load offered to a target. */
    private record TargetLoad(double slots, double requestsPerSecond) {
        static final TargetLoad NONE = new TargetLoad(0, 0);

        TargetLoad plus(ModelDemand demand, double share) {
            return new TargetLoad(
                    slots + share * demand.slots(),
                    requestsPerSecond + share * demand.requestsPerSecond());
        }
    }

    private ExpectedLoss(Layout layout, PlanningView view) {
        this.layout = layout;
        this.view = view;
    }

    /**
     * Returns the estimate for a layout.
     *
     * @param layout the layout; must not change while the estimate is in use
     * @param view the configuration, target states and demand to plan from
     * @return the estimate
     */
    static ExpectedLoss of(Layout layout, PlanningView view) {
        ExpectedLoss expectedLoss = new ExpectedLoss(layout, view);
        List<ModelId> models =
                view.demand().keySet().stream()
                        .filter(model -> layout.copyCount(model) > 0)
                        .sorted()
                        .toList();
        for (int round = 0; round < ASSIGNMENT_ROUNDS; round++) {
            models.forEach(expectedLoss::assign);
        }
        return expectedLoss;
    }

    private void assign(ModelId model) {
        ModelDemand demand = view.demand(model);
        splits.getOrDefault(model, Map.of())
                .forEach((target, share) -> add(target, demand, -share));
        Map<TargetId, Double> split = split(layout.targetsOf(model), Map.of());
        split.forEach((target, share) -> add(target, demand, share));
        splits.put(model, split);
    }

    private void add(TargetId target, ModelDemand demand, double share) {
        loads.put(target, loads.getOrDefault(target, TargetLoad.NONE).plus(demand, share));
    }

    private Map<TargetId, Double> split(List<TargetId> targets, Map<TargetId, TargetLoad> changed) {
        Map<TargetId, Double> split = new TreeMap<>();
        targets.forEach(target -> split.put(target, freeSlots(target, changed)));
        double total = split.values().stream().mapToDouble(Double::doubleValue).sum();
        split.replaceAll((target, slots) -> slots / total);
        return split;
    }

    private double freeSlots(TargetId target, Map<TargetId, TargetLoad> changed) {
        double slots = slots(target);
        double taken = load(target, changed).slots();
        return Math.max(MIN_FREE_SHARE * Math.max(1, slots), slots - taken);
    }

    private int slots(TargetId target) {
        var configured = view.configuration().targets().get(target);
        return configured == null || !view.usable(target) ? 0 : configured.concurrency();
    }

    private double lostPerSecond(TargetId target) {
        return lostPerSecond(target, loads.getOrDefault(target, TargetLoad.NONE));
    }

    private double lostPerSecond(TargetId target, TargetLoad load) {
        return load.requestsPerSecond()
                * ErlangLoss.blockingProbability(slots(target), load.slots());
    }

    /**
     * Returns the expected rate of rejected requests for a model.
     *
     * @param model the model
     * @return requests per second
     */
    double lostPerSecond(ModelId model) {
        double requestsPerSecond = view.demand(model).requestsPerSecond();
        return splits.getOrDefault(model, Map.of()).entrySet().stream()
                .mapToDouble(
                        part ->
                                requestsPerSecond
                                        * part.getValue()
                                        * ErlangLoss.blockingProbability(
                                                slots(part.getKey()),
                                                loads.get(part.getKey()).slots()))
                .sum();
    }

    /**
     * Returns by how much a change of the layout reduces the expected rate of rejected requests.
     *
     * @param added the model that gets an additional copy
     * @param target the target of the additional copy
     * @param removed the models whose copies on that target are removed
     * @return additional requests served per second; negative if more requests are rejected
     */
    double gain(ModelId added, TargetId target, List<ModelId> removed) {
        Map<TargetId, TargetLoad> changedLoads = new HashMap<>();
        removed.forEach(
                model -> reassign(model, without(layout.targetsOf(model), target), changedLoads));
        reassign(added, with(layout.targetsOf(added), target), changedLoads);
        return changedLoads.entrySet().stream()
                .mapToDouble(
                        load ->
                                lostPerSecond(load.getKey())
                                        - lostPerSecond(load.getKey(), load.getValue()))
                .sum();
    }

    private void reassign(
            ModelId model, List<TargetId> targets, Map<TargetId, TargetLoad> changedLoads) {
        ModelDemand demand = view.demand(model);
        splits.getOrDefault(model, Map.of())
                .forEach((target, share) -> addToChanged(target, demand, -share, changedLoads));
        split(targets, changedLoads)
                .forEach((target, share) -> addToChanged(target, demand, share, changedLoads));
    }

    private void addToChanged(
            TargetId target,
            ModelDemand demand,
            double share,
            Map<TargetId, TargetLoad> changedLoads) {
        changedLoads.put(target, load(target, changedLoads).plus(demand, share));
    }

    /** Returns the load offered to a target, with the changed value if there is one. */
    private TargetLoad load(TargetId target, Map<TargetId, TargetLoad> changed) {
        TargetLoad changedLoad = changed.get(target);
        return changedLoad == null ? loads.getOrDefault(target, TargetLoad.NONE) : changedLoad;
    }

    private static List<TargetId> without(List<TargetId> targets, TargetId target) {
        return targets.stream().filter(other -> !other.equals(target)).toList();
    }

    private static List<TargetId> with(List<TargetId> targets, TargetId target) {
        return Stream.concat(targets.stream(), Stream.of(target)).distinct().toList();
    }
}
