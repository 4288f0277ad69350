package org.tamaracktrack.core.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.tamaracktrack.core.config.Configuration;
import org.tamaracktrack.core.id.AdapterId;
import org.tamaracktrack.core.id.ModelId;
import org.tamaracktrack.core.id.TargetId;
import org.tamaracktrack.core.log.LogEntry.Placement;
import org.tamaracktrack.core.report.MoveCause;

/**
 * Ensures that each model has at least one copy and each adapter is on at least one copy of its
 * base model, as far as memory allows.
 */
final class MinimumPlacement {
    private final Layout layout;
    private final PlanningView view;
    private final List<TargetId> usableEngines;

    private MinimumPlacement(Layout layout, PlanningView view, List<TargetId> usable) {
        this.layout = layout;
        this.view = view;
        this.usableEngines = usable;
    }

    /**
     * Adds the missing copies and adapters to a layout.
     *
     * @param layout the layout, changed in place
     * @param view the configuration, target states and demand to plan from
     * @return the models that fit on no target
     */
    static List<ModelId> ensure(Layout layout, PlanningView view) {
        MinimumPlacement placement = new MinimumPlacement(layout, view, usableEngines(view));
        List<ModelId> unplaced = placement.placeModels();
        placement.placeAdapters();
        placement.reserveSharedMemory(unplaced);
        return unplaced;
    }

    // When memory can't hold every model, planned copies that fill it leave no memory in which the
    // remaining models can be loaded for a waiting request, and such requests would always be
    // refused. The memory of the copies with the least demand is left unplanned; targets load and
    // evict models there on request.
    private void reserveSharedMemory(List<ModelId> unplaced) {
        Optional<ModelId> largest = unplaced.stream().max(Comparator.comparingLong(this::size));
        largest.ifPresent(
                model -> {
                    unplaced.forEach(layout::markLoadedOnDemand);
                    cheapestRemoval(model)
                            .forEach(
                                    copy -> {
                                        layout.remove(copy.model(), copy.target());
                                        layout.markLoadedOnDemand(copy.model());
                                    });
                });
    }

    private List<Placement> cheapestRemoval(ModelId model) {
        return usableEngines.stream()
                .map(target -> removalsFor(model, target))
                .flatMap(Optional::stream)
                .min(Comparator.comparingDouble(this::longTermSlots))
                .orElse(List.of());
    }

    private double longTermSlots(List<Placement> copies) {
        return copies.stream().mapToDouble(copy -> view.demand(copy.model()).longTermSlots()).sum();
    }

    /** Returns the copies to remove from a target so that a model fits; empty if it can't fit. */
    private Optional<List<Placement>> removalsFor(ModelId model, TargetId target) {
        List<Placement> remaining = new ArrayList<>(layout.copiesOn(target));
        List<Placement> byDemand =
                remaining.stream()
                        .sorted(
                                Comparator.comparingDouble(
                                                (Placement copy) ->
                                                        view.demand(copy.model()).longTermSlots())
                                        .thenComparing(Placement::model))
                        .toList();
        List<Placement> removed = new ArrayList<>();
        remaining.add(layout.copyWithAllAdapters(model, target, MoveCause.HOME));
        for (Placement copy : byDemand) {
            if (!layout.fitsLargestFirst(target, remaining)) {
                remaining.remove(copy);
                removed.add(copy);
            }
        }
        return layout.fitsLargestFirst(target, remaining) ? Optional.of(removed) : Optional.empty();
    }

    /**
     * Returns the engines on which copies can be placed.
     *
     * @param view the configuration, target states and demand to plan from
     * @return the targets in order of their ids
     */
    static List<TargetId> usableEngines(PlanningView view) {
        return view.configuration().targets().values().stream()
                .filter(target -> target.kind() == Configuration.TargetKind.ENGINE)
                .map(Configuration.Target::id)
                .filter(view::usable)
                .sorted()
                .toList();
    }

    private List<ModelId> placeModels() {
        List<ModelId> missing =
                view.configuration().models().keySet().stream()
                        .filter(model -> layout.copyCount(model) == 0)
                        .sorted()
                        .sorted(Comparator.comparingLong(this::size).reversed())
                        .sorted(Comparator.comparing(this::notResidentAnywhere))
                        .toList();
        List<ModelId> unplaced = new ArrayList<>();
        missing.stream().filter(model -> !place(model)).forEach(unplaced::add);
        return unplaced;
    }

    private long size(ModelId model) {
        return layout.mebibytes(
                layout.copyWithAllAdapters(model, TargetId.of("any"), MoveCause.HOME));
    }

    // Planning a copy that is already in memory needs no move. Models with such a copy come first
    // so that no other model takes that memory.
    private boolean notResidentAnywhere(ModelId model) {
        return usableEngines.stream().noneMatch(target -> residentOrLoading(model, target));
    }

    private boolean residentOrLoading(ModelId model, TargetId target) {
        TargetStatus status = view.targets().get(target);
        return status.resident().contains(model) || status.loading().contains(model);
    }

    private boolean place(ModelId model) {
        Optional<Placement> placement =
                bestPlacement(
                                model,
                                target -> layout.copyWithAllAdapters(model, target, MoveCause.HOME))
                        .or(() -> bestPlacement(model, target -> withoutAdapters(model, target)))
                        .or(() -> afterRemovingAdditionalCopies(model))
                        .or(() -> afterRemovingAdapters(model));
        placement.ifPresent(layout::put);
        return placement.isPresent();
    }

    private static Placement withoutAdapters(ModelId model, TargetId target) {
        return new Placement(model, target, List.of(), MoveCause.HOME.text());
    }

    private Optional<Placement> bestPlacement(ModelId model, Function<TargetId, Placement> copy) {
        return usableEngines.stream()
                .map(copy)
                .filter(layout::fits)
                .min(
                        Comparator.comparing(
                                        (Placement placement) ->
                                                !residentOrLoading(model, placement.target()))
                                .thenComparingDouble(placement -> expectedLoad(placement.target()))
                                .thenComparingLong(
                                        placement -> -layout.freeMebibytes(placement.target()))
                                .thenComparing(Placement::target));
    }

    private double expectedLoad(TargetId target) {
        double slots =
                layout.copiesOn(target).stream()
                        .map(Placement::model)
                        .mapToDouble(
                                model ->
                                        view.demand(model).longTermSlots()
                                                / Math.max(1, layout.copyCount(model)))
                        .sum();
        return slots / Math.max(1, view.configuration().targets().get(target).concurrency());
    }

    private Optional<Placement> afterRemovingAdditionalCopies(ModelId model) {
        return afterRemoving(
                model,
                target ->
                        layout.copiesOn(target).stream()
                                .filter(copy -> layout.copyCount(copy.model()) > 1)
                                .sorted(
                                        Comparator.comparingDouble(
                                                copy -> view.demand(copy.model()).longTermSlots()))
                                .toList(),
                copy -> layout.remove(copy.model(), copy.target()));
    }

    private Optional<Placement> afterRemovingAdapters(ModelId model) {
        return afterRemoving(
                model,
                layout::copiesOn,
                copy ->
                        layout.put(
                                new Placement(
                                        copy.model(), copy.target(), List.of(), copy.cause())));
    }

    private Optional<Placement> afterRemoving(
            ModelId model,
            Function<TargetId, List<Placement>> candidates,
            Consumer<Placement> remove) {
        for (TargetId target : usableEngines) {
            Placement placement = withoutAdapters(model, target);
            List<Placement> before = layout.copiesOn(target);
            for (Placement copy : candidates.apply(target)) {
                remove.accept(copy);
                if (layout.fits(placement)) {
                    return Optional.of(placement);
                }
            }
            before.forEach(layout::put);
        }
        return Optional.empty();
    }

    private void placeAdapters() {
        view.configuration().models().keySet().stream().sorted().forEach(this::placeAdapters);
    }

    private void placeAdapters(ModelId model) {
        Set<AdapterId> placed =
                layout.targetsOf(model).stream()
                        .map(target -> layout.get(model, target).orElseThrow())
                        .flatMap(copy -> copy.adapters().stream())
                        .collect(Collectors.toSet());
        layout.adaptersOf(model).stream()
                .filter(adapter -> !placed.contains(adapter))
                .forEach(adapter -> placeAdapter(model, adapter));
    }

    private void placeAdapter(ModelId model, AdapterId adapter) {
        layout.targetsOf(model).stream()
                .filter(view::usable)
                .map(target -> layout.get(model, target).orElseThrow())
                .map(copy -> withAdapter(copy, adapter))
                .filter(layout::fits)
                .findFirst()
                .ifPresent(layout::put);
    }

    private static Placement withAdapter(Placement copy, AdapterId adapter) {
        List<AdapterId> adapters = new ArrayList<>(copy.adapters());
        adapters.add(adapter);
        return new Placement(
                copy.model(), copy.target(), adapters.stream().sorted().toList(), copy.cause());
    }
}
