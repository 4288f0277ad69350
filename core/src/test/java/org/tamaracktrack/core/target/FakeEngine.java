package org.tamaracktrack.core.target;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.tamaracktrack.core.id.AcceleratorId;
import org.tamaracktrack.core.id.ModelId;
import org.tamaracktrack.core.id.OrderId;

/** An engine that does what it is told, also when that overcommits its memory. */
final class FakeEngine {
    static final AcceleratorId ACCELERATOR = AcceleratorId.of("a0");

    private final long capacity;
    private final boolean checksFencing;
    private final long workMillis;
    private final Map<OrderId, EngineInventory.Outcome> seen = new LinkedHashMap<>();
    private final Map<ModelId, Copy> copies = new LinkedHashMap<>();
    private final Map<OrderId, Long> doneAt = new HashMap<>();
    private long highestFencing;
    private long highestUsed;

    private record Copy(long mebibytes, boolean unloading, long doneAtMillis) {}

    FakeEngine(long capacity, boolean checksFencing, long workMillis) {
        this.capacity = capacity;
        this.checksFencing = checksFencing;
        this.workMillis = workMillis;
    }

    void take(EngineOrder order, long now) {
        progress(now);
        if (seen.containsKey(order.orderId())) {
            return;
        }
        if (now - order.issuedAtMillis() > order.lifetimeMillis()) {
            seen.put(order.orderId(), EngineInventory.Outcome.IGNORED);
            return;
        }
        if (checksFencing && order.fencing() < highestFencing) {
            seen.put(order.orderId(), EngineInventory.Outcome.REFUSED);
            return;
        }
        highestFencing = Math.max(highestFencing, order.fencing());
        carryOut(order, now);
    }

    private void carryOut(EngineOrder order, long now) {
        if (order.kind() == OrderKind.SET_ROLE) {
            seen.put(order.orderId(), EngineInventory.Outcome.DONE);
            return;
        }
        ModelId model = order.model().orElseThrow();
        boolean load = order.kind() == OrderKind.LOAD_MODEL;
        if (load == copies.containsKey(model)) {
            seen.put(order.orderId(), EngineInventory.Outcome.REFUSED);
            return;
        }
        long mebibytes = load ? order.mebibytes() : copies.get(model).mebibytes();
        copies.put(model, new Copy(mebibytes, !load, now + workMillis));
        doneAt.put(order.orderId(), now + workMillis);
        seen.put(order.orderId(), EngineInventory.Outcome.RUNNING);
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
                            seen.put(order, EngineInventory.Outcome.DONE);
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
                seen.entrySet().stream()
                        .map(e -> new EngineInventory.OrderState(e.getKey(), e.getValue()))
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
