package org.tamaracktrack.core.target;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import org.tamaracktrack.core.admission.Need;
import org.tamaracktrack.core.config.Configuration;
import org.tamaracktrack.core.id.AcceleratorId;
import org.tamaracktrack.core.id.AdapterId;
import org.tamaracktrack.core.id.ModelId;
import org.tamaracktrack.core.log.LogEntry;

/**
 * Decides which models and adapters an engine loads and unloads. The placements of the plan in
 * force come first, then the needs of waiting requests, then new versions of resident models.
 * Nothing is unloaded before its memory is needed, since an unload that must be undone costs two
 * moves.
 */
public final class ResidencyPlanner {
    private static final String CAUSE_REQUEST = "request";
    private static final String CAUSE_VERSION = "version";
    private static final long REPLACEMENT_INTERVAL_MILLIS = 10_000;

    private final ResidencyView view;
    private final MemoryPlan memory;
    private final List<ResidencyChange> changes = new ArrayList<>();
    private final List<Need> unsatisfiable = new ArrayList<>();
    private final Set<ModelId> heldBack = new HashSet<>();

    private ResidencyPlanner(ResidencyView view) {
        this.view = view;
        this.memory = MemoryPlan.of(view);
    }

    /**
     * Decides which changes to order now.
     *
     * @param view the state to decide from
     * @return the decision
     */
    public static ResidencyDecision decide(ResidencyView view) {
        Objects.requireNonNull(view, "view is null");
        ResidencyPlanner planner = new ResidencyPlanner(view);
        planner.ensurePlacements();
        planner.ensureNeeds();
        planner.replaceOldVersions();
        return planner.decision();
    }

    private ResidencyDecision decision() {
        List<ResidencyChange> allChanges = new ArrayList<>(memory.unloads());
        allChanges.addAll(changes);
        return new ResidencyDecision(allChanges, unsatisfiable, heldBack);
    }

    private void ensurePlacements() {
        view.placementsHere().stream()
                .sorted(
                        Comparator.comparingLong(
                                        (LogEntry.Placement placement) ->
                                                -modelOf(placement.model()).memoryMebibytes())
                                .thenComparing(LogEntry.Placement::model))
                .forEach(
                        placement -> {
                            ensureModel(placement.model(), placement.cause());
                            placement
                                    .adapters()
                                    .forEach(
                                            adapter ->
                                                    ensureAdapter(
                                                            placement.model(),
                                                            adapter,
                                                            placement.cause()));
                        });
    }

    private void ensureNeeds() {
        view.unmet().forEach(this::ensureNeed);
    }

    private void ensureNeed(Need need) {
        if (!view.configuration().models().containsKey(need.model())) {
            unsatisfiable.add(need);
            return;
        }
        boolean satisfiable =
                ensureModel(need.model(), CAUSE_REQUEST)
                        && need.adapter()
                                .map(adapter -> ensureAdapter(need.model(), adapter, CAUSE_REQUEST))
                                .orElse(true);
        if (!satisfiable) {
            unsatisfiable.add(need);
        }
        memory.protect(need.model());
    }

    private boolean ensureModel(ModelId id, String cause) {
        if (hasCopy(id) || isLoading(id)) {
            return true;
        }
        Configuration.Model model = modelOf(id);
        Optional<AcceleratorId> accelerator = memory.acceleratorWithRoom(model.memoryMebibytes());
        accelerator.ifPresent(where -> addLoad(model, where, cause));
        return accelerator.isPresent()
                || memory.makeRoom(model.memoryMebibytes(), cause)
                || holdBackModelsInUse(model.memoryMebibytes());
    }

    // A model in steady use would keep its memory indefinitely and starve requests for other
    // models. No new requests are started on it, so that it becomes idle and can be unloaded; the
    // load rate limit bounds how often this happens.
    private boolean holdBackModelsInUse(long mebibytes) {
        Optional<Set<ModelId>> modelsInUse = memory.modelsInUseToEvict(mebibytes);
        if (view.loadAllowed()) {
            modelsInUse.ifPresent(heldBack::addAll);
        }
        return modelsInUse.isPresent();
    }

    private boolean hasCopy(ModelId id) {
        return view.inventory().copiesOf(id).stream()
                .anyMatch(copy -> copy.state() != EngineInventory.Residence.UNLOADING);
    }

    private boolean isLoading(ModelId id) {
        return view.pendingChanges().stream()
                        .anyMatch(
                                change ->
                                        change.kind() == OrderKind.LOAD_MODEL
                                                && change.model().equals(id))
                || changes.stream().anyMatch(change -> change.model().equals(id));
    }

    private void addLoad(Configuration.Model model, AcceleratorId accelerator, String cause) {
        memory.allocate(accelerator, model.memoryMebibytes());
        changes.add(
                new ResidencyChange(
                        OrderKind.LOAD_MODEL,
                        accelerator,
                        model.id(),
                        Optional.empty(),
                        model.version(),
                        model.memoryMebibytes(),
                        cause));
    }

    private boolean ensureAdapter(ModelId base, AdapterId id, String cause) {
        Optional<Configuration.Adapter> adapter =
                Optional.ofNullable(view.configuration().adapters().get(id))
                        .filter(each -> each.base().equals(base));
        if (adapter.isEmpty()) {
            return false;
        }
        Optional<EngineInventory.ModelState> copy =
                view.inventory().copiesOf(base).stream()
                        .filter(EngineInventory.ModelState::isReady)
                        .findFirst();
        return copy.map(on -> ensureAdapterOn(on, adapter.get(), cause)).orElse(true);
    }

    private boolean ensureAdapterOn(
            EngineInventory.ModelState copy, Configuration.Adapter adapter, String cause) {
        Optional<EngineInventory.AdapterState> present =
                copy.adapters().stream()
                        .filter(each -> each.adapter().equals(adapter.id()))
                        .findFirst();
        if (present.isPresent()) {
            unloadIfOldVersion(copy, present.get(), adapter);
            return true;
        }
        if (isLoading(adapter.id())) {
            return true;
        }
        if (!memory.hasRoom(copy.accelerator(), adapter.memoryMebibytes())) {
            return memory.makeRoomByAdapters(copy.accelerator(), adapter.memoryMebibytes(), cause)
                    || memory.makeRoom(copy.accelerator(), adapter.memoryMebibytes(), cause);
        }
        memory.allocate(copy.accelerator(), adapter.memoryMebibytes());
        changes.add(
                adapterChange(
                        OrderKind.LOAD_ADAPTER,
                        copy,
                        adapter.id(),
                        adapter.version(),
                        adapter.memoryMebibytes(),
                        cause));
        return true;
    }

    // An adapter has the same name on its base model in all versions, so two versions can't be
    // loaded at the same time.
    private void unloadIfOldVersion(
            EngineInventory.ModelState copy,
            EngineInventory.AdapterState present,
            Configuration.Adapter adapter) {
        boolean idle = !view.inUse().contains(Need.of(copy.model(), adapter.id()));
        if (!present.version().equals(adapter.version())
                && present.state() == EngineInventory.Residence.READY
                && idle) {
            changes.add(
                    adapterChange(
                            OrderKind.UNLOAD_ADAPTER,
                            copy,
                            adapter.id(),
                            present.version(),
                            present.mebibytes(),
                            CAUSE_VERSION));
        }
    }

    private boolean isLoading(AdapterId id) {
        return view.pendingChanges().stream()
                        .anyMatch(change -> change.adapter().equals(Optional.of(id)))
                || changes.stream().anyMatch(change -> change.adapter().equals(Optional.of(id)));
    }

    private static ResidencyChange adapterChange(
            OrderKind kind,
            EngineInventory.ModelState copy,
            AdapterId adapter,
            String version,
            long mebibytes,
            String cause) {
        return new ResidencyChange(
                kind,
                copy.accelerator(),
                copy.model(),
                Optional.of(adapter),
                version,
                mebibytes,
                cause);
    }

    private void replaceOldVersions() {
        view.inventory().models().stream()
                .filter(EngineInventory.ModelState::isReady)
                .filter(copy -> view.configuration().models().containsKey(copy.model()))
                .filter(copy -> !copy.version().equals(modelOf(copy.model()).version()))
                .forEach(this::unloadOldVersion);
    }

    // An engine holds one version of a model at a time, so the old one is unloaded first, after its
    // running requests have ended, since an unload would cut their answers. Targets with the same
    // model replace it one after another; otherwise it would be unavailable everywhere while the
    // new version loads.
    private void unloadOldVersion(EngineInventory.ModelState old) {
        if (view.configuredForMillis()
                < replacementPosition(old.model()) * REPLACEMENT_INTERVAL_MILLIS) {
            return;
        }
        heldBack.add(old.model());
        if (!view.isModelInUse(old.model()) && !memory.hasPendingChange(old)) {
            memory.unload(old, CAUSE_VERSION);
        }
    }

    private long replacementPosition(ModelId model) {
        return view.placedTargetsOf(model).stream()
                .filter(other -> other.compareTo(view.target()) < 0)
                .count();
    }

    private Configuration.Model modelOf(ModelId id) {
        return view.configuration().models().get(id);
    }
}
