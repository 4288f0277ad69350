package org.tamaracktrack.core.placement;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Stream;
import org.tamaracktrack.core.id.ModelId;
import org.tamaracktrack.core.id.TargetId;

/**
 * The requests a second that a layout is expected to lose, and what a change of it would gain.
 *
 * <p>Each model's demand is split over its copies by the room that the other models leave there, as
 * routing by estimated wait does; each target loses what Erlang's formula says.
 */
final class ExpectedService {
    private static final int ROUNDS = 3;
    private static final double LEAST_ROOM = 0.05;

    private final Layout layout;
    private final PlanningView view;
    private final Map<TargetId, Load> loads = new HashMap<>();
    private final Map<ModelId, Map<TargetId, Double>> splits = new HashMap<>();

    /** What is offered to a target. */
    private record Load(double slots, double requestsPerSecond) {
        static final Load NONE = new Load(0, 0);

        Load plus(ModelDemand demand, double share) {
            return new Load(
                    slots + share * demand.slots(),
                    requestsPerSecond + share * demand.requestsPerSecond());
        }
    }

    private ExpectedService(Layout layout, PlanningView view) {
        this.layout = layout;
        this.view = view;
    }

    /**
     * Returns what is expected of a layout.
     *
     * @param layout the layout; it must not change while this is in use
     * @param view what is known
     * @return the expectation
     */
    static ExpectedService of(Layout layout, PlanningView view) {
        ExpectedService service = new ExpectedService(layout, view);
        List<ModelId> models =
                view.demand().keySet().stream()
                        .filter(model -> layout.copies(model) > 0)
                        .sorted()
                        .toList();
        for (int round = 0; round < ROUNDS; round++) {
            models.forEach(service::assign);
        }
        return service;
    }

    private void assign(ModelId model) {
        ModelDemand demand = view.demand(model);
        splits.getOrDefault(model, Map.of())
                .forEach((target, share) -> add(target, demand, -share));
        Map<TargetId, Double> split = split(layout.homes(model), Map.of());
        split.forEach((target, share) -> add(target, demand, share));
        splits.put(model, split);
    }

    private void add(TargetId target, ModelDemand demand, double share) {
        loads.put(target, loads.getOrDefault(target, Load.NONE).plus(demand, share));
    }

    private Map<TargetId, Double> split(List<TargetId> targets, Map<TargetId, Load> changed) {
        Map<TargetId, Double> split = new TreeMap<>();
        targets.forEach(target -> split.put(target, room(target, changed)));
        double total = split.values().stream().mapToDouble(Double::doubleValue).sum();
        split.replaceAll((target, room) -> room / total);
        return split;
    }

    private double room(TargetId target, Map<TargetId, Load> changed) {
        double slots = slots(target);
        double taken = load(target, changed).slots();
        return Math.max(LEAST_ROOM * Math.max(1, slots), slots - taken);
    }

    private int slots(TargetId target) {
        var configured = view.configuration().targets().get(target);
        return configured == null || !view.usable(target) ? 0 : configured.concurrency();
    }

    private double lost(TargetId target) {
        return lost(target, loads.getOrDefault(target, Load.NONE));
    }

    private double lost(TargetId target, Load load) {
        return load.requestsPerSecond() * ErlangLoss.of(slots(target), load.slots());
    }

    /**
     * Returns the requests a second that a model is expected to lose.
     *
     * @param model the model
     * @return requests a second
     */
    double lost(ModelId model) {
        double requestsPerSecond = view.demand(model).requestsPerSecond();
        return splits.getOrDefault(model, Map.of()).entrySet().stream()
                .mapToDouble(
                        part ->
                                requestsPerSecond
                                        * part.getValue()
                                        * ErlangLoss.of(
                                                slots(part.getKey()),
                                                loads.get(part.getKey()).slots()))
                .sum();
    }

    /**
     * Returns what a change would gain.
     *
     * @param added the model that gets one more copy
     * @param target where
     * @param dropped the models that lose their copies there
     * @return requests a second served more, less than 0 when it would cost
     */
    double gain(ModelId added, TargetId target, List<ModelId> dropped) {
        Map<TargetId, Load> after = new HashMap<>();
        dropped.forEach(model -> move(model, without(layout.homes(model), target), after));
        move(added, with(layout.homes(added), target), after);
        return after.entrySet().stream()
                .mapToDouble(one -> lost(one.getKey()) - lost(one.getKey(), one.getValue()))
                .sum();
    }

    private void move(ModelId model, List<TargetId> targets, Map<TargetId, Load> after) {
        ModelDemand demand = view.demand(model);
        splits.getOrDefault(model, Map.of())
                .forEach((one, share) -> change(one, demand, -share, after));
        split(targets, after).forEach((one, share) -> change(one, demand, share, after));
    }

    private void change(
            TargetId target, ModelDemand demand, double share, Map<TargetId, Load> after) {
        after.put(target, load(target, after).plus(demand, share));
    }

    /** What is offered to a target; what a change would make of it goes before what it is. */
    private Load load(TargetId target, Map<TargetId, Load> changed) {
        Load after = changed.get(target);
        return after == null ? loads.getOrDefault(target, Load.NONE) : after;
    }

    private static List<TargetId> without(List<TargetId> targets, TargetId target) {
        return targets.stream().filter(one -> !one.equals(target)).toList();
    }

    private static List<TargetId> with(List<TargetId> targets, TargetId target) {
        return Stream.concat(targets.stream(), Stream.of(target)).distinct().toList();
    }
}
