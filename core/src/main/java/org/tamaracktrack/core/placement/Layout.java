package org.tamaracktrack.core.placement;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.tamaracktrack.core.config.Configuration;
import org.tamaracktrack.core.id.AdapterId;
import org.tamaracktrack.core.id.ModelId;
import org.tamaracktrack.core.id.TargetId;
import org.tamaracktrack.core.log.LogEntry.Placement;
import org.tamaracktrack.core.report.MoveCause;

/** A mutable set of planned copies that tracks the memory they take on each target. */
public final class Layout {
    private final Configuration configuration;
    private final Map<TargetId, Map<ModelId, Placement>> byTarget = new TreeMap<>();
    private final Map<ModelId, TreeSet<TargetId>> byModel = new TreeMap<>();
    private final Map<ModelId, List<AdapterId>> adapters;
    private final Set<ModelId> loadedOnDemand = new TreeSet<>();
    private final Set<ModelOnTarget> excluded = new HashSet<>();

    private Layout(Configuration configuration, Map<ModelId, List<AdapterId>> adapters) {
        this.configuration = configuration;
        this.adapters = adapters;
    }

    /**
     * Returns a layout with the given copies.
     *
     * @param configuration the configuration that gives the sizes
     * @param placements the copies
     * @return the layout
     */
    public static Layout of(Configuration configuration, Collection<Placement> placements) {
        Objects.requireNonNull(configuration, "configuration is null");
        Map<ModelId, List<AdapterId>> adapters =
                configuration.adapters().values().stream()
                        .sorted(Comparator.comparing(Configuration.Adapter::id))
                        .collect(
                                Collectors.groupingBy(
                                        Configuration.Adapter::base,
                                        Collectors.mapping(
                                                Configuration.Adapter::id, Collectors.toList())));
        Layout layout = new Layout(configuration, adapters);
        placements.forEach(layout::put);
        return layout;
    }

    /**
     * Returns a copy of this layout.
     *
     * @return the copy
     */
    public Layout copy() {
        Layout copy = new Layout(configuration, adapters);
        placements().forEach(copy::put);
        copy.excluded.addAll(excluded);
        return copy;
    }

    /**
     * Adds a copy, or replaces the copy of the same model on the same target.
     *
     * @param placement the copy
     */
    public void put(Placement placement) {
        byTarget.computeIfAbsent(placement.target(), unused -> new LinkedHashMap<>())
                .put(placement.model(), placement);
        byModel.computeIfAbsent(placement.model(), unused -> new TreeSet<>())
                .add(placement.target());
    }

    /**
     * Removes a copy.
     *
     * @param model its model
     * @param target its target
     */
    public void remove(ModelId model, TargetId target) {
        Optional.ofNullable(byTarget.get(target)).ifPresent(copies -> copies.remove(model));
        Optional.ofNullable(byModel.get(model)).ifPresent(targets -> targets.remove(target));
    }

    /**
     * A pair of a model and a target.
     *
     * @param model the model
     * @param target the target
     */
    record ModelOnTarget(ModelId model, TargetId target) {}

    /**
     * Excludes a target from the placement of a model.
     *
     * @param place the model and the target
     */
    void exclude(ModelOnTarget place) {
        excluded.add(place);
    }

    /**
     * Returns whether a target is excluded from the placement of a model.
     *
     * @param model the model
     * @param target the target
     * @return true if it is excluded
     */
    boolean isExcluded(ModelId model, TargetId target) {
        return excluded.contains(new ModelOnTarget(model, target));
    }

    /**
     * Marks a model to be loaded on demand, without a planned copy, since memory can't hold all
     * models.
     *
     * @param model the model
     */
    void markLoadedOnDemand(ModelId model) {
        loadedOnDemand.add(model);
    }

    /**
     * Returns whether a model is loaded on demand only, without a planned copy.
     *
     * @param model the model
     * @return true if it is marked and has no planned copy
     */
    boolean isLoadedOnDemand(ModelId model) {
        return loadedOnDemand.contains(model) && copyCount(model) == 0;
    }

    /**
     * Returns the copies on a target.
     *
     * @param target the target
     * @return the copies
     */
    public List<Placement> copiesOn(TargetId target) {
        return List.copyOf(byTarget.getOrDefault(target, Map.of()).values());
    }

    /**
     * Returns the copy of a model on a target.
     *
     * @param model the model
     * @param target the target
     * @return the copy, if it is planned
     */
    public Optional<Placement> get(ModelId model, TargetId target) {
        return Optional.ofNullable(byTarget.getOrDefault(target, Map.of()).get(model));
    }

    /**
     * Returns the targets on which a model has copies.
     *
     * @param model the model
     * @return the targets
     */
    public List<TargetId> targetsOf(ModelId model) {
        return List.copyOf(byModel.getOrDefault(model, new TreeSet<>()));
    }

    /**
     * Returns the number of copies of a model.
     *
     * @param model the model
     * @return the number of copies
     */
    public int copyCount(ModelId model) {
        return byModel.getOrDefault(model, new TreeSet<>()).size();
    }

    /**
     * Returns all copies, ordered by target and then in the order in which they were added.
     *
     * @return the copies
     */
    public List<Placement> placements() {
        return stream().toList();
    }

    private Stream<Placement> stream() {
        return byTarget.values().stream().flatMap(copies -> copies.values().stream());
    }

    /**
     * Returns a copy of a model with all its adapters.
     *
     * @param model the model
     * @param target the target
     * @param cause the cause of the copy
     * @return the copy, which is not added to the layout
     */
    public Placement copyWithAllAdapters(ModelId model, TargetId target, MoveCause cause) {
        return new Placement(model, target, adaptersOf(model), cause.text());
    }

    /**
     * Returns the adapters of a base model.
     *
     * @param model the base model
     * @return its adapters
     */
    public List<AdapterId> adaptersOf(ModelId model) {
        return adapters.getOrDefault(model, List.of());
    }

    /**
     * Returns whether a copy fits on its target together with the copies of other models there.
     *
     * @param placement the copy
     * @return true if it fits and its target is not excluded for its model
     */
    public boolean fits(Placement placement) {
        if (isExcluded(placement.model(), placement.target())) {
            return false;
        }
        List<Placement> wanted = new ArrayList<>(copiesOn(placement.target()));
        wanted.removeIf(copy -> copy.model().equals(placement.model()));
        wanted.add(placement);
        return fitsLargestFirst(placement.target(), wanted);
    }

    /**
     * Returns whether the copies planned for a target fit, in any arrangement.
     *
     * @param target the target
     * @return true if they fit; false for a target that is not configured
     */
    public boolean fits(TargetId target) {
        return fits(target, copiesOn(target));
    }

    /**
     * Returns whether copies fit on a target when they are placed in descending order of size, as
     * targets place them.
     *
     * @param target the target
     * @param placements the copies
     * @return true if they fit; false for a target that is not configured
     */
    public boolean fitsLargestFirst(TargetId target, Collection<Placement> placements) {
        Configuration.Target configured = configuration.targets().get(target);
        return configured != null
                && AcceleratorPacking.fitsLargestFirst(
                        configured.accelerators(),
                        placements.stream().map(this::mebibytes).toList());
    }

    /**
     * Returns whether any arrangement of the copies fits on a target.
     *
     * @param target the target
     * @param placements the copies
     * @return true if they fit; false for a target that is not configured
     */
    public boolean fits(TargetId target, Collection<Placement> placements) {
        Configuration.Target configured = configuration.targets().get(target);
        return configured != null
                && AcceleratorPacking.fits(
                        configured.accelerators(),
                        placements.stream().map(this::mebibytes).toList());
    }

    /**
     * Returns the memory that a copy and its adapters take.
     *
     * @param placement the copy
     * @return the size in MiB; parts that are not configured count as 0
     */
    public long mebibytes(Placement placement) {
        Configuration.Model model = configuration.models().get(placement.model());
        long weights = model == null ? 0 : model.memoryMebibytes();
        return weights
                + placement.adapters().stream()
                        .map(configuration.adapters()::get)
                        .filter(Objects::nonNull)
                        .mapToLong(Configuration.Adapter::memoryMebibytes)
                        .sum();
    }

    /**
     * Returns the memory on a target that is neither planned for copies nor set aside for KV cache.
     *
     * @param target the target
     * @return the memory in MiB, which is negative if the target is overcommitted
     */
    public long freeMebibytes(TargetId target) {
        Configuration.Target configured = configuration.targets().get(target);
        long total =
                configured.accelerators().stream()
                        .mapToLong(
                                accelerator ->
                                        accelerator.memoryMebibytes()
                                                - accelerator.cacheMebibytes())
                        .sum();
        return total - copiesOn(target).stream().mapToLong(this::mebibytes).sum();
    }
}
