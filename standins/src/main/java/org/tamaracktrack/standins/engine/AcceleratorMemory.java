package org.tamaracktrack.standins.engine;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Tracks the models and adapters in the memory of the accelerators. Unless overcommitting orders
 * are refused, an order that exceeds the memory is executed and counted, so that tests can detect
 * it. Not safe for use by several threads.
 */
public final class AcceleratorMemory {
    static final String LOADING = "loading";
    static final String READY = "ready";
    static final String UNLOADING = "unloading";

    private final long cacheMebibytes;
    private final boolean refusesOvercommit;
    private final Map<String, Long> accelerators = new LinkedHashMap<>();
    private final Map<String, ResidentModel> models = new TreeMap<>();
    private int overcommits;

    private AcceleratorMemory(long cacheMebibytes, boolean refusesOvercommit) {
        this.cacheMebibytes = cacheMebibytes;
        this.refusesOvercommit = refusesOvercommit;
    }

    /** The result of beginning an order. */
    public enum BeginResult {
        /** Memory has been allocated, or is about to be freed. */
        STARTED,
        /** The order has no effect, since its result already holds. */
        ALREADY_DONE,
        /** The models and adapters in memory don't permit the order. */
        IMPOSSIBLE,
        /** There is not enough free memory. */
        NO_MEMORY
    }

    private static final class ResidentModel {
        private final String version;
        private final String accelerator;
        private final long mebibytes;
        private final Map<String, ResidentAdapter> adapters = new TreeMap<>();
        private String state = LOADING;

        private ResidentModel(String version, String accelerator, long mebibytes) {
            this.version = version;
            this.accelerator = accelerator;
            this.mebibytes = mebibytes;
        }

        private long totalMebibytes() {
            return mebibytes
                    + adapters.values().stream().mapToLong(adapter -> adapter.mebibytes).sum();
        }
    }

    private static final class ResidentAdapter {
        private final String version;
        private final long mebibytes;
        private String state = LOADING;

        private ResidentAdapter(String version, long mebibytes) {
            this.version = version;
            this.mebibytes = mebibytes;
        }
    }

    /**
     * Returns an instance without accelerators.
     *
     * @param cacheMebibytes the memory of each accelerator that the KV cache occupies
     * @param refusesOvercommit whether orders that exceed the memory are refused
     * @return the instance
     */
    public static AcceleratorMemory of(long cacheMebibytes, boolean refusesOvercommit) {
        return new AcceleratorMemory(cacheMebibytes, refusesOvercommit);
    }

    /**
     * Adds an accelerator.
     *
     * @param name the name of the accelerator
     * @param mebibytes the size of its memory
     */
    public void addAccelerator(String name, long mebibytes) {
        accelerators.put(name, mebibytes);
    }

    /**
     * Begins to load a model.
     *
     * @param order the order
     * @return the result
     */
    public BeginResult beginLoadModel(EngineOrder order) {
        ResidentModel resident = models.get(order.model());
        if (resident != null) {
            boolean alreadyLoaded =
                    resident.version.equals(order.version())
                            && resident.accelerator.equals(order.accelerator())
                            && !resident.state.equals(UNLOADING);
            return alreadyLoaded ? BeginResult.ALREADY_DONE : BeginResult.IMPOSSIBLE;
        }
        if (!accelerators.containsKey(order.accelerator())) {
            return BeginResult.IMPOSSIBLE;
        }
        if (refusesOvercommit && !fits(order.accelerator(), order.mebibytes())) {
            return BeginResult.NO_MEMORY;
        }
        models.put(
                order.model(),
                new ResidentModel(order.version(), order.accelerator(), order.mebibytes()));
        recordOvercommit(order.accelerator());
        return BeginResult.STARTED;
    }

    /**
     * Begins to load an adapter.
     *
     * @param order the order
     * @return the result
     */
    public BeginResult beginLoadAdapter(EngineOrder order) {
        ResidentModel base = models.get(order.model());
        if (base == null || base.state.equals(UNLOADING)) {
            return BeginResult.IMPOSSIBLE;
        }
        ResidentAdapter resident = base.adapters.get(order.adapter());
        if (resident != null) {
            boolean alreadyLoaded =
                    resident.version.equals(order.version()) && !resident.state.equals(UNLOADING);
            return alreadyLoaded ? BeginResult.ALREADY_DONE : BeginResult.IMPOSSIBLE;
        }
        if (refusesOvercommit && !fits(base.accelerator, order.mebibytes())) {
            return BeginResult.NO_MEMORY;
        }
        base.adapters.put(order.adapter(), new ResidentAdapter(order.version(), order.mebibytes()));
        recordOvercommit(base.accelerator);
        return BeginResult.STARTED;
    }

    /**
     * Ends the load of a model or adapter.
     *
     * @param order the order
     * @param loaded whether the weights were loaded; if not, the memory is freed
     */
    public void endLoad(EngineOrder order, boolean loaded) {
        if (order.adapter() == null) {
            endLoadModel(order.model(), loaded);
        } else {
            Optional.ofNullable(models.get(order.model()))
                    .ifPresent(base -> endLoadAdapter(base, order.adapter(), loaded));
        }
    }

    private void endLoadModel(String model, boolean loaded) {
        ResidentModel resident = models.get(model);
        if (resident == null || !resident.state.equals(LOADING)) {
            return;
        }
        if (loaded) {
            resident.state = READY;
        } else {
            models.remove(model);
        }
    }

    private static void endLoadAdapter(ResidentModel base, String adapter, boolean loaded) {
        ResidentAdapter resident = base.adapters.get(adapter);
        if (resident == null || !resident.state.equals(LOADING)) {
            return;
        }
        if (loaded) {
            resident.state = READY;
        } else {
            base.adapters.remove(adapter);
        }
    }

    /**
     * Begins to unload a model with its adapters, or a single adapter.
     *
     * @param order the order
     * @return the result
     */
    public BeginResult beginUnload(EngineOrder order) {
        ResidentModel resident = models.get(order.model());
        if (resident == null) {
            return BeginResult.ALREADY_DONE;
        }
        if (order.adapter() == null) {
            return beginUnload(resident);
        }
        ResidentAdapter adapter = resident.adapters.get(order.adapter());
        if (adapter == null) {
            return BeginResult.ALREADY_DONE;
        }
        if (!adapter.state.equals(READY)) {
            return BeginResult.IMPOSSIBLE;
        }
        adapter.state = UNLOADING;
        return BeginResult.STARTED;
    }

    private static BeginResult beginUnload(ResidentModel resident) {
        if (!resident.state.equals(READY)) {
            return BeginResult.IMPOSSIBLE;
        }
        resident.state = UNLOADING;
        return BeginResult.STARTED;
    }

    /**
     * Ends an unload, and frees the memory.
     *
     * @param order the order
     */
    public void endUnload(EngineOrder order) {
        if (order.adapter() == null) {
            models.remove(order.model());
        } else {
            Optional.ofNullable(models.get(order.model()))
                    .ifPresent(base -> base.adapters.remove(order.adapter()));
        }
    }

    /**
     * Returns whether a model is ready to serve requests.
     *
     * @param model the model
     * @return whether it is ready
     */
    public boolean isReady(String model) {
        return Optional.ofNullable(models.get(model))
                .filter(resident -> resident.state.equals(READY))
                .isPresent();
    }

    /**
     * Returns whether an adapter is ready to serve requests.
     *
     * @param model the base model
     * @param adapter the adapter
     * @return whether both the model and the adapter are ready
     */
    public boolean isReady(String model, String adapter) {
        return isReady(model)
                && Optional.ofNullable(models.get(model).adapters.get(adapter))
                        .filter(resident -> resident.state.equals(READY))
                        .isPresent();
    }

    /**
     * Returns the number of orders that overcommitted the memory of an accelerator.
     *
     * @return the number
     */
    public int overcommits() {
        return overcommits;
    }

    /**
     * Returns the state of the accelerators.
     *
     * @return the accelerators and the memory that weights occupy
     */
    public List<Inventory.AcceleratorState> accelerators() {
        List<Inventory.AcceleratorState> states = new ArrayList<>();
        accelerators.forEach(
                (name, memory) ->
                        states.add(
                                new Inventory.AcceleratorState(name, memory, usedMebibytes(name))));
        return states;
    }

    /**
     * Returns the models in memory.
     *
     * @return the models and their adapters
     */
    public List<Inventory.ModelState> models() {
        return models.entrySet().stream()
                .map(entry -> state(entry.getKey(), entry.getValue()))
                .toList();
    }

    private static Inventory.ModelState state(String name, ResidentModel model) {
        List<Inventory.AdapterState> adapters =
                model.adapters.entrySet().stream()
                        .map(
                                entry ->
                                        new Inventory.AdapterState(
                                                entry.getKey(),
                                                entry.getValue().version,
                                                entry.getValue().mebibytes,
                                                entry.getValue().state))
                        .toList();
        return new Inventory.ModelState(
                name, model.version, model.accelerator, model.mebibytes, model.state, adapters);
    }

    private long usedMebibytes(String accelerator) {
        return models.values().stream()
                .filter(model -> model.accelerator.equals(accelerator))
                .mapToLong(ResidentModel::totalMebibytes)
                .sum();
    }

    private boolean fits(String accelerator, long mebibytes) {
        return usedMebibytes(accelerator) + cacheMebibytes + mebibytes
                <= accelerators.get(accelerator);
    }

    private void recordOvercommit(String accelerator) {
        if (!fits(accelerator, 0)) {
            overcommits++;
        }
    }
}
