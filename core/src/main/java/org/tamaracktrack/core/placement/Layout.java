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

/** A set of planned copies that can be changed, and the memory that it takes. */
public final class Layout {
    private final Configuration configuration;
    private final Map<TargetId, Map<ModelId, Placement>> byTarget = new TreeMap<>();
    private final Map<ModelId, TreeSet<TargetId>> byModel = new TreeMap<>();
    private final Map<ModelId, List<AdapterId>> adapters;
    private final Set<ModelId> shared = new TreeSet<>();
    private final Set<Place> avoided = new HashSet<>();

    private Layout(Configuration configuration, Map<ModelId, List<AdapterId>> adapters) {
        this.configuration = configuration;
        this.adapters = adapters;
    }

    /**
     * Returns a layout.
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
        copy.avoided.addAll(avoided);
        return copy;
    }

    /**
     * Adds a copy, or replaces the one of the same model on the same target.
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
     * A model on a target.
     *
     * @param model the model
     * @param target the target
     */
    record Place(ModelId model, TargetId target) {}

    /**
     * Keeps a model from being placed on a target.
     *
     * @param place the model and the target
     */
    void avoid(Place place) {
        avoided.add(place);
    }

    /**
     * Returns whether a model is kept from being placed on a target.
     *
     * @param model the model
     * @param target the target
     * @return true when it is
     */
    boolean avoids(ModelId model, TargetId target) {
        return avoided.contains(new Place(model, target));
    }

    /**
     * Marks a model as one that has no place of its own, since memory can't hold them all.
     *
     * @param model the model
     */
    void share(ModelId model) {
        shared.add(model);
    }

    /**
     * Returns whether a model has no place of its own, since memory can't hold them all.
     *
     * @param model the model
     * @return true when it is loaded on demand only
     */
    boolean shares(ModelId model) {
        return shared.contains(model) && copies(model) == 0;
    }

    /**
     * Returns the copies on a target.
     *
     * @param target the target
     * @return the copies
     */
    public List<Placement> on(TargetId target) {
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
     * Returns where a model has copies.
     *
     * @param model the model
     * @return the targets
     */
    public List<TargetId> homes(ModelId model) {
        return List.copyOf(byModel.getOrDefault(model, new TreeSet<>()));
    }

    /**
     * Returns how many copies a model has.
     *
     * @param model the model
     * @return how many
     */
    public int copies(ModelId model) {
        return byModel.getOrDefault(model, new TreeSet<>()).size();
    }

    /**
     * Returns every copy, by target and in the order in which they were planned.
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
     * @param target where
     * @param cause why
     * @return the copy; not yet in the layout
     */
    public Placement whole(ModelId model, TargetId target, MoveCause cause) {
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
     * Returns whether a copy fits beside the others on its target.
     *
     * @param placement the copy
     * @return true when it fits and is not to be avoided
     */
    public boolean fits(Placement placement) {
        if (avoids(placement.model(), placement.target())) {
            return false;
        }
        List<Placement> wanted = new ArrayList<>(on(placement.target()));
        wanted.removeIf(copy -> copy.model().equals(placement.model()));
        wanted.add(placement);
        return fitsInOrder(placement.target(), wanted);
    }

    /**
     * Returns whether everything planned for a target fits.
     *
     * @param target the target
     * @return true when it fits; false also for a target that is not configured
     */
    public boolean fits(TargetId target) {
        return fits(target, on(target));
    }

    /**
     * Returns whether copies fit on a target in the order in which targets place them.
     *
     * @param target the target
     * @param placements the copies
     * @return true when they fit
     */
    public boolean fitsInOrder(TargetId target, Collection<Placement> placements) {
        Configuration.Target configured = configuration.targets().get(target);
        return configured != null
                && AcceleratorPacking.fitsInOrder(
                        configured.accelerators(),
                        placements.stream().map(this::mebibytes).toList());
    }

    /**
     * Returns whether copies fit on a target in any arrangement.
     *
     * @param target the target
     * @param placements the copies
     * @return true when they fit
     */
    public boolean fits(TargetId target, Collection<Placement> placements) {
        Configuration.Target configured = configuration.targets().get(target);
        return configured != null
                && AcceleratorPacking.fits(
                        configured.accelerators(),
                        placements.stream().map(this::mebibytes).toList());
    }

    /**
     * Returns the memory that a copy takes with its adapters.
     *
     * @param placement the copy
     * @return mebibytes; 0 for a model that is not configured
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
     * Returns the memory that is free for weights on a target.
     *
     * @param target the target
     * @return mebibytes
     */
    public long freeMebibytes(TargetId target) {
        Configuration.Target configured = configuration.targets().get(target);
        long total =
                configured.accelerators().stream()
                        .mapToLong(one -> one.memoryMebibytes() - one.cacheMebibytes())
                        .sum();
        return total - on(target).stream().mapToLong(this::mebibytes).sum();
    }
}
