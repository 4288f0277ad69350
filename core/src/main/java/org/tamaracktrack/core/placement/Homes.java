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

/** Gives every model one copy before any has a second, and every adapter one place. */
final class Homes {
    private final Layout layout;
    private final PlanningView view;
    private final List<TargetId> usable;

    private Homes(Layout layout, PlanningView view, List<TargetId> usable) {
        this.layout = layout;
        this.view = view;
        this.usable = usable;
    }

    /**
     * Adds the copies that are missing to a layout.
     *
     * @param layout the layout, changed in place
     * @param view what is known
     * @return the models for which no memory was found
     */
    static List<ModelId> ensure(Layout layout, PlanningView view) {
        Homes homes = new Homes(layout, view, usable(view));
        List<ModelId> homeless = homes.placeModels();
        homes.placeAdapters();
        homes.shareRoom(homeless);
        return homeless;
    }

    // When memory can't hold every model, planned copies that fill it leave no room in which the
    // rest could be loaded for a waiting request: they would be refused for good. The place of the
    // model with the least demand is left to be shared; targets swap copies there as requests ask.
    private void shareRoom(List<ModelId> homeless) {
        Optional<ModelId> largest = homeless.stream().max(Comparator.comparingLong(this::size));
        largest.ifPresent(
                model -> {
                    homeless.forEach(layout::share);
                    roomBySharing(model)
                            .forEach(
                                    copy -> {
                                        layout.remove(copy.model(), copy.target());
                                        layout.share(copy.model());
                                    });
                });
    }

    private List<Placement> roomBySharing(ModelId model) {
        return usable.stream()
                .map(target -> leastAsked(model, target))
                .flatMap(Optional::stream)
                .min(Comparator.comparingDouble(this::lastingSlots))
                .orElse(List.of());
    }

    private double lastingSlots(List<Placement> copies) {
        return copies.stream().mapToDouble(copy -> view.demand(copy.model()).lastingSlots()).sum();
    }

    /** Returns the copies to give up on a target for a model; empty when even all are too few. */
    private Optional<List<Placement>> leastAsked(ModelId model, TargetId target) {
        List<Placement> left = new ArrayList<>(layout.on(target));
        List<Placement> order =
                left.stream()
                        .sorted(
                                Comparator.comparingDouble(
                                                (Placement copy) ->
                                                        view.demand(copy.model()).lastingSlots())
                                        .thenComparing(Placement::model))
                        .toList();
        List<Placement> given = new ArrayList<>();
        left.add(layout.whole(model, target, MoveCause.HOME));
        for (Placement copy : order) {
            if (!layout.fitsInOrder(target, left)) {
                left.remove(copy);
                given.add(copy);
            }
        }
        return layout.fitsInOrder(target, left) ? Optional.of(given) : Optional.empty();
    }

    /**
     * Returns the engines on which copies may be placed.
     *
     * @param view what is known
     * @return the targets, in order
     */
    static List<TargetId> usable(PlanningView view) {
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
                        .filter(model -> layout.copies(model) == 0)
                        .sorted()
                        .sorted(Comparator.comparingLong(this::size).reversed())
                        .sorted(Comparator.comparing(this::notResidentAnywhere))
                        .toList();
        List<ModelId> homeless = new ArrayList<>();
        missing.stream().filter(model -> !place(model)).forEach(homeless::add);
        return homeless;
    }

    private long size(ModelId model) {
        return layout.mebibytes(layout.whole(model, TargetId.of("any"), MoveCause.HOME));
    }

    // A copy that is already in memory costs no move; placing it first keeps others from taking its
    // room.
    private boolean notResidentAnywhere(ModelId model) {
        return usable.stream().noneMatch(target -> residentOrLoading(model, target));
    }

    private boolean residentOrLoading(ModelId model, TargetId target) {
        TargetStatus status = view.targets().get(target);
        return status.resident().contains(model) || status.loading().contains(model);
    }

    private boolean place(ModelId model) {
        Optional<Placement> placement =
                best(model, target -> layout.whole(model, target, MoveCause.HOME))
                        .or(() -> best(model, target -> bare(model, target)))
                        .or(() -> afterDroppingExtras(model))
                        .or(() -> afterDroppingAdapters(model));
        placement.ifPresent(layout::put);
        return placement.isPresent();
    }

    private static Placement bare(ModelId model, TargetId target) {
        return new Placement(model, target, List.of(), MoveCause.HOME.text());
    }

    private Optional<Placement> best(ModelId model, Function<TargetId, Placement> copy) {
        return usable.stream()
                .map(copy)
                .filter(layout::fits)
                .min(
                        Comparator.comparing(
                                        (Placement one) -> !residentOrLoading(model, one.target()))
                                .thenComparingDouble(one -> expectedLoad(one.target()))
                                .thenComparingLong(one -> -layout.freeMebibytes(one.target()))
                                .thenComparing(Placement::target));
    }

    private double expectedLoad(TargetId target) {
        double slots =
                layout.on(target).stream()
                        .map(Placement::model)
                        .mapToDouble(
                                model ->
                                        view.demand(model).lastingSlots()
                                                / Math.max(1, layout.copies(model)))
                        .sum();
        return slots / Math.max(1, view.configuration().targets().get(target).concurrency());
    }

    private Optional<Placement> afterDroppingExtras(ModelId model) {
        return afterDropping(
                model,
                target ->
                        layout.on(target).stream()
                                .filter(copy -> layout.copies(copy.model()) > 1)
                                .sorted(
                                        Comparator.comparingDouble(
                                                copy -> view.demand(copy.model()).lastingSlots()))
                                .toList(),
                copy -> layout.remove(copy.model(), copy.target()));
    }

    private Optional<Placement> afterDroppingAdapters(ModelId model) {
        return afterDropping(
                model,
                layout::on,
                copy ->
                        layout.put(
                                new Placement(
                                        copy.model(), copy.target(), List.of(), copy.cause())));
    }

    private Optional<Placement> afterDropping(
            ModelId model,
            Function<TargetId, List<Placement>> candidates,
            Consumer<Placement> drop) {
        for (TargetId target : usable) {
            Placement placement = bare(model, target);
            List<Placement> before = layout.on(target);
            for (Placement copy : candidates.apply(target)) {
                drop.accept(copy);
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
                layout.homes(model).stream()
                        .map(target -> layout.get(model, target).orElseThrow())
                        .flatMap(copy -> copy.adapters().stream())
                        .collect(Collectors.toSet());
        layout.adaptersOf(model).stream()
                .filter(adapter -> !placed.contains(adapter))
                .forEach(adapter -> placeAdapter(model, adapter));
    }

    private void placeAdapter(ModelId model, AdapterId adapter) {
        layout.homes(model).stream()
                .filter(view::usable)
                .map(target -> layout.get(model, target).orElseThrow())
                .map(copy -> with(copy, adapter))
                .filter(layout::fits)
                .findFirst()
                .ifPresent(layout::put);
    }

    private static Placement with(Placement copy, AdapterId adapter) {
        List<AdapterId> adapters = new ArrayList<>(copy.adapters());
        adapters.add(adapter);
        return new Placement(
                copy.model(), copy.target(), adapters.stream().sorted().toList(), copy.cause());
    }
}
