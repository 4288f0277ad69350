package org.tamaracktrack.core.target;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.tamaracktrack.core.id.AcceleratorId;
import org.tamaracktrack.core.id.ModelId;
import org.tamaracktrack.core.id.OrderId;

/** Simulates an engine that carries out every valid order, even if it overcommits memory. */
final class SimulatedEngine {
    static final AcceleratorId ACCELERATOR = AcceleratorId.of("a0");

    private final long capacity;
    private final boolean checksFencing;
    private final long changeMillis;
    private final Map<OrderId, EngineInventory.Outcome> outcomes = new LinkedHashMap<>();
    private final Map<ModelId, Copy> copies = new LinkedHashMap<>();
    private final Map<OrderId, Long> doneAt = new HashMap<>();
    private long highestFencing;
    private long highestUsed;

    private record Copy(long mebibytes, boolean unloading, long doneAtMillis) {}

    SimulatedEngine(long capacity, boolean checksFencing, long workMillis) {
        this.capacity = capacity;
        this.checksFencing = checksFencing;
        this.changeMillis = workMillis;
    }

    void receive(EngineOrder order, long now) {
        progress(now);
        if (outcomes.containsKey(order.orderId())) {
            return;
        }
        if (now - order.issuedAtMillis() > order.lifetimeMillis()) {
            outcomes.put(order.orderId(), EngineInventory.Outcome.IGNORED);
            return;
        }
        if (checksFencing && order.fencing() < highestFencing) {
            outcomes.put(order.orderId(), EngineInventory.Outcome.REFUSED);
            return;
        }
        highestFencing = Math.max(highestFencing, order.fencing());
        carryOut(order, now);
    }

    private void carryOut(EngineOrder order, long now) {
        if (order.kind() == OrderKind.SET_ROLE) {
            outcomes.put(order.orderId(), EngineInventory.Outcome.DONE);
            return;
        }
        ModelId model = order.model().orElseThrow();
        boolean load = order.kind() == OrderKind.LOAD_MODEL;
        if (load == copies.containsKey(model)) {
            outcomes.put(order.orderId(), EngineInventory.Outcome.REFUSED);
            return;
        }
        long mebibytes = load ? order.mebibytes() : copies.get(model).mebibytes();
        copies.put(model, new Copy(mebibytes, !load, now + changeMillis));
        doneAt.put(order.orderId(), now + changeMillis);
        outcomes.put(order.orderId(), EngineInventory.Outcome.RUNNING);
        highestUsed = Math.max(highestUsed, used());
    }

    private void progress(long now) {
        copies.values().removeIf(copy -> copy.unloading() && now >= copy.doneAtMillis());
        doneAt.entrySet().stream()
                .filter(entry -> now >= entry.getValue())
                .map(Map.Entry::getKey)
                .toList()
                .forEach(
                        order -> {
                            doneAt.remove(order);
                            outcomes.put(order, EngineInventory.Outcome.DONE);
                        });
    }

    private long used() {
        return copies.values().stream().mapToLong(Copy::mebibytes).sum();
    }

    boolean everOvercommitted() {
        return highestUsed > capacity;
    }

    EngineInventory inventory(long now) {
        progress(now);
        List<EngineInventory.ModelState> models = new ArrayList<>();
        copies.forEach(
                (model, copy) ->
                        models.add(
                                new EngineInventory.ModelState(
                                        model,
                                        "1",
                                        ACCELERATOR,
                                        copy.mebibytes(),
                                        residence(copy, now),
                                        List.of())));
        return new EngineInventory(
                highestFencing,
                "serve",
                List.of(new EngineInventory.AcceleratorState(ACCELERATOR, capacity, used())),
                models,
                outcomes.entrySet().stream()
                        .map(
                                entry ->
                                        new EngineInventory.OrderState(
                                                entry.getKey(), entry.getValue()))
                        .toList());
    }

    private static EngineInventory.Residence residence(Copy copy, long now) {
        if (copy.unloading()) {
            return EngineInventory.Residence.UNLOADING;
        }
        return now >= copy.doneAtMillis()
                ? EngineInventory.Residence.READY
                : EngineInventory.Residence.LOADING;
    }
}
