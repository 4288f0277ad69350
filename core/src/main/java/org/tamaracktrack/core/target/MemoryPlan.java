package org.tamaracktrack.core.target;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.tamaracktrack.core.admission.Need;
import org.tamaracktrack.core.id.AcceleratorId;
import org.tamaracktrack.core.id.ModelId;

/** Finds memory for loads within one decision and chooses the copies to evict for them. */
final class MemoryPlan {
    private final ResidencyView view;
    private final Map<AcceleratorId, Long> free = new HashMap<>();
    private final Map<AcceleratorId, Long> pendingFree = new HashMap<>();
    private final List<ResidencyChange> unloads = new ArrayList<>();
    private final Set<ModelId> protectedModels = new HashSet<>();
    private final Set<ModelId> placedHere;
    private final Set<ModelId> placedElsewhere;

    private MemoryPlan(ResidencyView view) {
        this.view = view;
        this.placedHere = view.placedHere();
        this.placedElsewhere = view.placedElsewhere();
    }

    static MemoryPlan of(ResidencyView view) {
        MemoryPlan plan = new MemoryPlan(view);
        plan.free.putAll(view.free());
        view.inventory().models().forEach(plan::countUnloading);
        return plan;
    }

    private void countUnloading(EngineInventory.ModelState copy) {
        if (isUnloading(copy)) {
            pendingFree.merge(copy.accelerator(), copy.totalMebibytes(), Long::sum);
            return;
        }
        copy.adapters().stream()
                .filter(adapter -> isUnloading(copy, adapter))
                .forEach(
                        adapter ->
                                pendingFree.merge(
                                        copy.accelerator(), adapter.mebibytes(), Long::sum));
    }

    private boolean isUnloading(EngineInventory.ModelState copy) {
        return copy.state() == EngineInventory.Residence.UNLOADING
                || pendingChanges()
                        .filter(change -> change.kind() == OrderKind.UNLOAD_MODEL)
                        .anyMatch(change -> isSameCopy(change, copy));
    }

    private boolean isUnloading(
            EngineInventory.ModelState copy, EngineInventory.AdapterState adapter) {
        return adapter.state() == EngineInventory.Residence.UNLOADING
                || pendingChanges()
                        .filter(change -> change.kind() == OrderKind.UNLOAD_ADAPTER)
                        .filter(change -> isSameCopy(change, copy, adapter))
                        .anyMatch(
                                change -> change.adapter().equals(Optional.of(adapter.adapter())));
    }

    private Stream<ResidencyChange> pendingChanges() {
        return Stream.concat(view.pendingChanges().stream(), unloads.stream());
    }

    private static boolean isSameCopy(ResidencyChange change, EngineInventory.ModelState copy) {
        return change.model().equals(copy.model())
                && change.accelerator().equals(copy.accelerator())
                && change.version().equals(copy.version());
    }

    private static boolean isSameCopy(
            ResidencyChange change,
            EngineInventory.ModelState copy,
            EngineInventory.AdapterState adapter) {
        return change.model().equals(copy.model())
                && change.accelerator().equals(copy.accelerator())
                && change.version().equals(adapter.version());
    }

    List<ResidencyChange> unloads() {
        return unloads;
    }

    /**
     * Returns the accelerator with the most free memory if the load fits there now. Using the most
     * free memory leaves room for adapters beside the model.
     */
    Optional<AcceleratorId> acceleratorWithRoom(long mebibytes) {
        return free.entrySet().stream()
                .filter(entry -> entry.getValue() >= mebibytes)
                .max(
                        Map.Entry.<AcceleratorId, Long>comparingByValue()
                                .thenComparing(Map.Entry.comparingByKey()))
                .map(Map.Entry::getKey);
    }

    boolean hasRoom(AcceleratorId accelerator, long mebibytes) {
        return free.getOrDefault(accelerator, 0L) >= mebibytes;
    }

    void allocate(AcceleratorId accelerator, long mebibytes) {
        free.merge(accelerator, -mebibytes, Long::sum);
    }

    /** Excludes a model from eviction in this decision, since a longer waiting request needs it. */
    void protect(ModelId model) {
        protectedModels.add(model);
    }

    /** Evicts copies to make room on any accelerator; returns false if that is not possible now. */
    boolean makeRoom(long mebibytes, String cause) {
        Optional<AcceleratorId> best =
                free.keySet().stream()
                        .filter(
                                accelerator ->
                                        copiesToEvict(accelerator, mebibytes, false).isPresent())
                        .min(
                                Comparator.<AcceleratorId>comparingInt(
                                                accelerator ->
                                                        copiesToEvict(accelerator, mebibytes, false)
                                                                .orElseThrow()
                                                                .size())
                                        .thenComparing(Comparator.naturalOrder()));
        return best.isPresent() && makeRoom(best.get(), mebibytes, cause);
    }

    /** Evicts copies to make room on an accelerator; returns false if that is not possible now. */
    boolean makeRoom(AcceleratorId accelerator, long mebibytes, String cause) {
        Optional<List<EngineInventory.ModelState>> victims =
                copiesToEvict(accelerator, mebibytes, false);
        victims.ifPresent(
                copies -> {
                    copies.forEach(copy -> unload(copy, cause));
                    pendingFree.merge(accelerator, -mebibytes, Long::sum);
                });
        return victims.isPresent();
    }

    /**
     * Returns the models to evict once their requests end; empty if that frees too little memory.
     */
    Optional<Set<ModelId>> modelsInUseToEvict(long mebibytes) {
        return free.keySet().stream()
                .sorted()
                .flatMap(accelerator -> copiesToEvict(accelerator, mebibytes, true).stream())
                .min(Comparator.comparingInt(List::size))
                .map(
                        copies ->
                                copies.stream()
                                        .map(EngineInventory.ModelState::model)
                                        .collect(Collectors.toSet()));
    }

    void unload(EngineInventory.ModelState copy, String cause) {
        unloads.add(
                new ResidencyChange(
                        OrderKind.UNLOAD_MODEL,
                        copy.accelerator(),
                        copy.model(),
                        Optional.empty(),
                        copy.version(),
                        copy.totalMebibytes(),
                        cause));
        pendingFree.merge(copy.accelerator(), copy.totalMebibytes(), Long::sum);
    }

    // Empty if not enough memory can be freed; an empty list if enough memory is becoming free
    // already.
    private Optional<List<EngineInventory.ModelState>> copiesToEvict(
            AcceleratorId accelerator, long mebibytes, boolean includeInUse) {
        long available =
                free.getOrDefault(accelerator, 0L) + pendingFree.getOrDefault(accelerator, 0L);
        List<EngineInventory.ModelState> victims = new ArrayList<>();
        for (EngineInventory.ModelState copy : evictable(accelerator, includeInUse)) {
            if (available >= mebibytes) {
                break;
            }
            victims.add(copy);
            available += copy.totalMebibytes();
        }
        return available >= mebibytes ? Optional.of(victims) : Optional.empty();
    }

    // Copies that the plan in force places here are not evicted: one may be the last copy, and only
    // the planner knows whether another is ready. Copies of models that are placed elsewhere are
    // evicted before those of models without a placement, which are available only after another
    // load.
    private List<EngineInventory.ModelState> evictable(
            AcceleratorId accelerator, boolean includeInUse) {
        return view.inventory().models().stream()
                .filter(copy -> copy.accelerator().equals(accelerator))
                .filter(EngineInventory.ModelState::isReady)
                .filter(copy -> !placedHere.contains(copy.model()))
                .filter(copy -> includeInUse || !view.isModelInUse(copy.model()))
                .filter(copy -> !protectedModels.contains(copy.model()))
                .filter(copy -> !isUnloading(copy))
                .filter(copy -> !hasPendingChange(copy))
                .sorted(
                        Comparator.comparing(
                                        (EngineInventory.ModelState copy) ->
                                                !placedElsewhere.contains(copy.model()))
                                .thenComparingLong(copy -> view.lastUsedMillis(copy.model()))
                                .thenComparing(EngineInventory.ModelState::model))
                .toList();
    }

    boolean hasPendingChange(EngineInventory.ModelState copy) {
        return view.pendingChanges().stream()
                .anyMatch(
                        change ->
                                change.model().equals(copy.model())
                                        && change.accelerator().equals(copy.accelerator()));
    }

    /**
     * Evicts adapters that are neither placed here nor in use, least recently used first, to make
     * room; returns false if that is not possible now.
     */
    boolean makeRoomByAdapters(AcceleratorId accelerator, long mebibytes, String cause) {
        long available =
                free.getOrDefault(accelerator, 0L) + pendingFree.getOrDefault(accelerator, 0L);
        List<ResidencyChange> chosen = new ArrayList<>();
        for (ResidencyChange unload : evictableAdapters(accelerator, cause)) {
            if (available >= mebibytes) {
                break;
            }
            chosen.add(unload);
            available += unload.mebibytes();
        }
        if (available < mebibytes) {
            return false;
        }
        chosen.forEach(
                unload -> {
                    unloads.add(unload);
                    pendingFree.merge(accelerator, unload.mebibytes(), Long::sum);
                });
        pendingFree.merge(accelerator, -mebibytes, Long::sum);
        return true;
    }

    private List<ResidencyChange> evictableAdapters(AcceleratorId accelerator, String cause) {
        return view.inventory().models().stream()
                .filter(copy -> copy.accelerator().equals(accelerator))
                .filter(copy -> !isUnloading(copy) && !hasPendingChange(copy))
                .flatMap(copy -> copy.adapters().stream().map(adapter -> Map.entry(copy, adapter)))
                .filter(entry -> entry.getValue().state() == EngineInventory.Residence.READY)
                .filter(entry -> !isUnloading(entry.getKey(), entry.getValue()))
                .filter(entry -> !isAdapterProtected(need(entry.getKey(), entry.getValue())))
                .sorted(
                        Comparator.comparingLong(
                                entry ->
                                        view.lastUsedMillis(
                                                need(entry.getKey(), entry.getValue()))))
                .map(
                        entry ->
                                new ResidencyChange(
                                        OrderKind.UNLOAD_ADAPTER,
                                        accelerator,
                                        entry.getKey().model(),
                                        Optional.of(entry.getValue().adapter()),
                                        entry.getValue().version(),
                                        entry.getValue().mebibytes(),
                                        cause))
                .toList();
    }

    private static Need need(
            EngineInventory.ModelState copy, EngineInventory.AdapterState adapter) {
        return Need.of(copy.model(), adapter.adapter());
    }

    private boolean isAdapterProtected(Need need) {
        boolean placed =
                view.placementsHere().stream()
                        .filter(placement -> placement.model().equals(need.model()))
                        .anyMatch(
                                placement ->
                                        placement
                                                .adapters()
                                                .contains(need.adapter().orElseThrow()));
        return placed || view.inUse().contains(need) || view.unmet().contains(need);
    }
}
