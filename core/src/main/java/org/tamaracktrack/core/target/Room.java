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

/** Finds room for loads within one decision, by unloading what may be unloaded. */
final class Room {
    private final ResidencyView view;
    private final Map<AcceleratorId, Long> free = new HashMap<>();
    private final Map<AcceleratorId, Long> becomingFree = new HashMap<>();
    private final List<Change> unloads = new ArrayList<>();
    private final Set<ModelId> kept = new HashSet<>();
    private final Set<ModelId> placedHere;
    private final Set<ModelId> placedElsewhere;

    private Room(ResidencyView view) {
        this.view = view;
        this.placedHere = view.placedHere();
        this.placedElsewhere = view.placedElsewhere();
    }

    static Room of(ResidencyView view) {
        Room room = new Room(view);
        room.free.putAll(view.free());
        view.inventory().models().forEach(room::countUnloading);
        return room;
    }

    private void countUnloading(EngineInventory.ModelState copy) {
        if (isLeaving(copy)) {
            becomingFree.merge(copy.accelerator(), copy.totalMebibytes(), Long::sum);
            return;
        }
        copy.adapters().stream()
                .filter(adapter -> isLeaving(copy, adapter))
                .forEach(
                        adapter ->
                                becomingFree.merge(
                                        copy.accelerator(), adapter.mebibytes(), Long::sum));
    }

    private boolean isLeaving(EngineInventory.ModelState copy) {
        return copy.state() == EngineInventory.Residence.UNLOADING
                || changes()
                        .filter(change -> change.kind() == OrderKind.UNLOAD_MODEL)
                        .anyMatch(change -> isSameCopy(change, copy));
    }

    private boolean isLeaving(
            EngineInventory.ModelState copy, EngineInventory.AdapterState adapter) {
        return adapter.state() == EngineInventory.Residence.UNLOADING
                || changes()
                        .filter(change -> change.kind() == OrderKind.UNLOAD_ADAPTER)
                        .filter(change -> isSameCopy(change, copy, adapter))
                        .anyMatch(
                                change -> change.adapter().equals(Optional.of(adapter.adapter())));
    }

    private Stream<Change> changes() {
        return Stream.concat(view.underWay().stream(), unloads.stream());
    }

    private static boolean isSameCopy(Change change, EngineInventory.ModelState copy) {
        return change.model().equals(copy.model())
                && change.accelerator().equals(copy.accelerator())
                && change.version().equals(copy.version());
    }

    private static boolean isSameCopy(
            Change change, EngineInventory.ModelState copy, EngineInventory.AdapterState adapter) {
        return change.model().equals(copy.model())
                && change.accelerator().equals(copy.accelerator())
                && change.version().equals(adapter.version());
    }

    List<Change> unloads() {
        return unloads;
    }

    /** Where a load of this size goes now. The most room goes first: it keeps room for adapters. */
    Optional<AcceleratorId> now(long mebibytes) {
        return free.entrySet().stream()
                .filter(entry -> entry.getValue() >= mebibytes)
                .max(
                        Map.Entry.<AcceleratorId, Long>comparingByValue()
                                .thenComparing(Map.Entry.comparingByKey()))
                .map(Map.Entry::getKey);
    }

    boolean fitsNow(AcceleratorId accelerator, long mebibytes) {
        return free.getOrDefault(accelerator, 0L) >= mebibytes;
    }

    void take(AcceleratorId accelerator, long mebibytes) {
        free.merge(accelerator, -mebibytes, Long::sum);
    }

    /** Keeps a model for the rest of this decision, since a longer waiting request needs it. */
    void keep(ModelId model) {
        kept.add(model);
    }

    /** Makes room on some accelerator; false when it can't be made now. */
    boolean make(long mebibytes, String cause) {
        Optional<AcceleratorId> best =
                free.keySet().stream()
                        .filter(accelerator -> victims(accelerator, mebibytes, false).isPresent())
                        .min(
                                Comparator.<AcceleratorId>comparingInt(
                                                accelerator ->
                                                        victims(accelerator, mebibytes, false)
                                                                .orElseThrow()
                                                                .size())
                                        .thenComparing(Comparator.naturalOrder()));
        return best.isPresent() && make(best.get(), mebibytes, cause);
    }

    /** Makes room on one accelerator; false when it can't be made now. */
    boolean make(AcceleratorId accelerator, long mebibytes, String cause) {
        Optional<List<EngineInventory.ModelState>> victims = victims(accelerator, mebibytes, false);
        victims.ifPresent(
                copies -> {
                    copies.forEach(copy -> unload(copy, cause));
                    becomingFree.merge(accelerator, -mebibytes, Long::sum);
                });
        return victims.isPresent();
    }

    /** The models whose running requests must end before there can be room, if that would do. */
    Optional<Set<ModelId>> busy(long mebibytes) {
        return free.keySet().stream()
                .sorted()
                .flatMap(accelerator -> victims(accelerator, mebibytes, true).stream())
                .min(Comparator.comparingInt(List::size))
                .map(
                        copies ->
                                copies.stream()
                                        .map(EngineInventory.ModelState::model)
                                        .collect(Collectors.toSet()));
    }

    void unload(EngineInventory.ModelState copy, String cause) {
        unloads.add(
                new Change(
                        OrderKind.UNLOAD_MODEL,
                        copy.accelerator(),
                        copy.model(),
                        Optional.empty(),
                        copy.version(),
                        copy.totalMebibytes(),
                        cause));
        becomingFree.merge(copy.accelerator(), copy.totalMebibytes(), Long::sum);
    }

    // Empty when there is no room to be made; an empty list when enough is becoming free already.
    private Optional<List<EngineInventory.ModelState>> victims(
            AcceleratorId accelerator, long mebibytes, boolean alsoInUse) {
        long room = free.getOrDefault(accelerator, 0L) + becomingFree.getOrDefault(accelerator, 0L);
        List<EngineInventory.ModelState> victims = new ArrayList<>();
        for (EngineInventory.ModelState copy : evictable(accelerator, alsoInUse)) {
            if (room >= mebibytes) {
                break;
            }
            victims.add(copy);
            room += copy.totalMebibytes();
        }
        return room >= mebibytes ? Optional.of(victims) : Optional.empty();
    }

    // What the plan in force places here stays: it may be the last copy, and only the planner has
    // seen whether another is ready. A copy that has a place elsewhere goes before one that has
    // none, since that one is reachable only by loading it again.
    private List<EngineInventory.ModelState> evictable(
            AcceleratorId accelerator, boolean alsoInUse) {
        return view.inventory().models().stream()
                .filter(copy -> copy.accelerator().equals(accelerator))
                .filter(EngineInventory.ModelState::isReady)
                .filter(copy -> !placedHere.contains(copy.model()))
                .filter(copy -> alsoInUse || !view.isModelInUse(copy.model()))
                .filter(copy -> !kept.contains(copy.model()))
                .filter(copy -> !isLeaving(copy))
                .filter(copy -> !isChanging(copy))
                .sorted(
                        Comparator.comparing(
                                        (EngineInventory.ModelState copy) ->
                                                !placedElsewhere.contains(copy.model()))
                                .thenComparingLong(copy -> view.lastUsedMillis(copy.model()))
                                .thenComparing(EngineInventory.ModelState::model))
                .toList();
    }

    boolean isChanging(EngineInventory.ModelState copy) {
        return view.underWay().stream()
                .anyMatch(
                        change ->
                                change.model().equals(copy.model())
                                        && change.accelerator().equals(copy.accelerator()));
    }

    /** Unloads adapters that nobody placed or uses, oldest use first, until there is room. */
    boolean makeFromAdapters(AcceleratorId accelerator, long mebibytes, String cause) {
        long room = free.getOrDefault(accelerator, 0L) + becomingFree.getOrDefault(accelerator, 0L);
        List<Change> chosen = new ArrayList<>();
        for (Change unload : idleAdapters(accelerator, cause)) {
            if (room >= mebibytes) {
                break;
            }
            chosen.add(unload);
            room += unload.mebibytes();
        }
        if (room < mebibytes) {
            return false;
        }
        chosen.forEach(
                unload -> {
                    unloads.add(unload);
                    becomingFree.merge(accelerator, unload.mebibytes(), Long::sum);
                });
        becomingFree.merge(accelerator, -mebibytes, Long::sum);
        return true;
    }

    private List<Change> idleAdapters(AcceleratorId accelerator, String cause) {
        return view.inventory().models().stream()
                .filter(copy -> copy.accelerator().equals(accelerator))
                .filter(copy -> !isLeaving(copy) && !isChanging(copy))
                .flatMap(copy -> copy.adapters().stream().map(adapter -> Map.entry(copy, adapter)))
                .filter(entry -> entry.getValue().state() == EngineInventory.Residence.READY)
                .filter(entry -> !isLeaving(entry.getKey(), entry.getValue()))
                .filter(entry -> !isAdapterKept(need(entry.getKey(), entry.getValue())))
                .sorted(
                        Comparator.comparingLong(
                                entry ->
                                        view.lastUsedMillis(
                                                need(entry.getKey(), entry.getValue()))))
                .map(
                        entry ->
                                new Change(
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

    private boolean isAdapterKept(Need need) {
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
