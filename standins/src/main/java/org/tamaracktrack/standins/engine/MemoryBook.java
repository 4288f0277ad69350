package org.tamaracktrack.standins.engine;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * What is in the accelerators' memory. An order that puts in more than there is room for is carried
 * out and recorded, so that a test can see that it happened. Not safe for use by several threads.
 */
public final class MemoryBook {
    static final String LOADING = "loading";
    static final String READY = "ready";
    static final String UNLOADING = "unloading";

    private final long cacheMebibytes;
    private final boolean refusesOvercommit;
    private final Map<String, Long> accelerators = new LinkedHashMap<>();
    private final Map<String, ResidentModel> models = new TreeMap<>();
    private int overcommits;

    private MemoryBook(long cacheMebibytes, boolean refusesOvercommit) {
        this.cacheMebibytes = cacheMebibytes;
        this.refusesOvercommit = refusesOvercommit;
    }

    /** How an order began. */
    public enum Begun {
        /** Memory is taken, or is about to be freed. */
        STARTED,
        /** There is nothing to do. */
        ALREADY_DONE,
        /** What is in memory doesn't allow it. */
        IMPOSSIBLE,
        /** There is no room. */
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

        private long total() {
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
     * Returns a book without accelerators.
     *
     * @param cacheMebibytes the part of each that KV cache takes
     * @param refusesOvercommit whether an order without room is refused
     * @return the book
     */
    public static MemoryBook of(long cacheMebibytes, boolean refusesOvercommit) {
        return new MemoryBook(cacheMebibytes, refusesOvercommit);
    }

    /**
     * Adds an accelerator.
     *
     * @param name its name
     * @param mebibytes its memory
     */
    public void add(String name, long mebibytes) {
        accelerators.put(name, mebibytes);
    }

    /**
     * Begins to load a model.
     *
     * @param order the order
     * @return how it began
     */
    public Begun beginLoadModel(EngineOrder order) {
        ResidentModel resident = models.get(order.model());
        if (resident != null) {
            boolean same =
                    resident.version.equals(order.version())
                            && resident.accelerator.equals(order.accelerator())
                            && !resident.state.equals(UNLOADING);
            return same ? Begun.ALREADY_DONE : Begun.IMPOSSIBLE;
        }
        if (!accelerators.containsKey(order.accelerator())) {
            return Begun.IMPOSSIBLE;
        }
        if (refusesOvercommit && !fits(order.accelerator(), order.mebibytes())) {
            return Begun.NO_MEMORY;
        }
        models.put(
                order.model(),
                new ResidentModel(order.version(), order.accelerator(), order.mebibytes()));
        recordOvercommit(order.accelerator());
        return Begun.STARTED;
    }

    /**
     * Begins to load an adapter.
     *
     * @param order the order
     * @return how it began
     */
    public Begun beginLoadAdapter(EngineOrder order) {
        ResidentModel base = models.get(order.model());
        if (base == null || base.state.equals(UNLOADING)) {
            return Begun.IMPOSSIBLE;
        }
        ResidentAdapter resident = base.adapters.get(order.adapter());
        if (resident != null) {
            boolean same =
                    resident.version.equals(order.version()) && !resident.state.equals(UNLOADING);
            return same ? Begun.ALREADY_DONE : Begun.IMPOSSIBLE;
        }
        if (refusesOvercommit && !fits(base.accelerator, order.mebibytes())) {
            return Begun.NO_MEMORY;
        }
        base.adapters.put(order.adapter(), new ResidentAdapter(order.version(), order.mebibytes()));
        recordOvercommit(base.accelerator);
        return Begun.STARTED;
    }

    /**
     * Ends the load of a model or adapter.
     *
     * @param order the order
     * @param loaded whether the weights came; otherwise its memory is free again
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
     * Begins to unload a model with its adapters, or one adapter.
     *
     * @param order the order
     * @return how it began
     */
    public Begun beginUnload(EngineOrder order) {
        ResidentModel resident = models.get(order.model());
        if (resident == null) {
            return Begun.ALREADY_DONE;
        }
        if (order.adapter() == null) {
            return beginUnload(resident);
        }
        ResidentAdapter adapter = resident.adapters.get(order.adapter());
        if (adapter == null) {
            return Begun.ALREADY_DONE;
        }
        if (!adapter.state.equals(READY)) {
            return Begun.IMPOSSIBLE;
        }
        adapter.state = UNLOADING;
        return Begun.STARTED;
    }

    private static Begun beginUnload(ResidentModel resident) {
        if (!resident.state.equals(READY)) {
            return Begun.IMPOSSIBLE;
        }
        resident.state = UNLOADING;
        return Begun.STARTED;
    }

    /**
     * Ends an unload: the memory is free.
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
     * Returns whether a model can run.
     *
     * @param model the model
     * @return whether it is ready
     */
    public boolean ready(String model) {
        return Optional.ofNullable(models.get(model))
                .filter(resident -> resident.state.equals(READY))
                .isPresent();
    }

    /**
     * Returns whether an adapter can run.
     *
     * @param model its base model
     * @param adapter the adapter
     * @return whether both are ready
     */
    public boolean ready(String model, String adapter) {
        return ready(model)
                && Optional.ofNullable(models.get(model).adapters.get(adapter))
                        .filter(resident -> resident.state.equals(READY))
                        .isPresent();
    }

    /**
     * Returns how often there was more in an accelerator than room for it.
     *
     * @return how many orders overcommitted memory
     */
    public int overcommits() {
        return overcommits;
    }

    /**
     * Returns the accelerators.
     *
     * @return the accelerators and the memory that weights take
     */
    public List<Inventory.AcceleratorState> accelerators() {
        List<Inventory.AcceleratorState> states = new ArrayList<>();
        accelerators.forEach(
                (name, memory) ->
                        states.add(new Inventory.AcceleratorState(name, memory, used(name))));
        return states;
    }

    /**
     * Returns the models.
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

    private long used(String accelerator) {
        return models.values().stream()
                .filter(model -> model.accelerator.equals(accelerator))
                .mapToLong(ResidentModel::total)
                .sum();
    }

    private boolean fits(String accelerator, long mebibytes) {
        return used(accelerator) + cacheMebibytes + mebibytes <= accelerators.get(accelerator);
    }

    private void recordOvercommit(String accelerator) {
        if (!fits(accelerator, 0)) {
            overcommits++;
        }
    }
}
