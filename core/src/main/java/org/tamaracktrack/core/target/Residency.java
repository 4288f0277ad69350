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
 * Decides what an engine is to load and unload: first what the plan in force places here, then what
 * waiting requests need, then new versions of what is resident. Nothing is unloaded before its room
 * is needed, since an unload that turns out wrong costs two moves.
 */
public final class Residency {
    private static final String CAUSE_REQUEST = "request";
    private static final String CAUSE_VERSION = "version";
    private static final long TURN_MILLIS = 10_000;

    private final ResidencyView view;
    private final Room room;
    private final List<Change> loads = new ArrayList<>();
    private final List<Need> impossible = new ArrayList<>();
    private final Set<ModelId> heldBack = new HashSet<>();

    private Residency(ResidencyView view) {
        this.view = view;
        this.room = Room.of(view);
    }

    /**
     * Decides.
     *
     * @param view what is known
     * @return what is to change
     */
    public static ResidencyDecision decide(ResidencyView view) {
        Objects.requireNonNull(view, "view is null");
        Residency residency = new Residency(view);
        residency.placements();
        residency.needs();
        residency.versions();
        return residency.decision();
    }

    private ResidencyDecision decision() {
        List<Change> changes = new ArrayList<>(room.unloads());
        changes.addAll(loads);
        return new ResidencyDecision(changes, impossible, heldBack);
    }

    private void placements() {
        view.placementsHere().stream()
                .sorted(
                        Comparator.comparingLong(
                                        (LogEntry.Placement placement) ->
                                                -modelOf(placement.model()).memoryMebibytes())
                                .thenComparing(LogEntry.Placement::model))
                .forEach(
                        placement -> {
                            model(placement.model(), placement.cause());
                            placement
                                    .adapters()
                                    .forEach(
                                            adapter ->
                                                    adapter(
                                                            placement.model(),
                                                            adapter,
                                                            placement.cause()));
                        });
    }

    private void needs() {
        view.unmet().forEach(this::need);
    }

    private void need(Need need) {
        if (!view.configuration().models().containsKey(need.model())) {
            impossible.add(need);
            return;
        }
        boolean possible =
                model(need.model(), CAUSE_REQUEST)
                        && need.adapter()
                                .map(adapter -> adapter(need.model(), adapter, CAUSE_REQUEST))
                                .orElse(true);
        if (!possible) {
            impossible.add(need);
        }
        room.keep(need.model());
    }

    private boolean model(ModelId id, String cause) {
        if (hasCopy(id) || isLoading(id)) {
            return true;
        }
        Configuration.Model model = modelOf(id);
        Optional<AcceleratorId> accelerator = room.now(model.memoryMebibytes());
        accelerator.ifPresent(where -> load(model, where, cause));
        return accelerator.isPresent()
                || room.make(model.memoryMebibytes(), cause)
                || waitForBusy(model.memoryMebibytes());
    }

    // A model in steady use would keep its memory for ever, and those waiting for another would
    // never be served. Nothing new starts on it, so that it falls idle and can go; how often that
    // happens is bounded by the pace of loads.
    private boolean waitForBusy(long mebibytes) {
        Optional<Set<ModelId>> busy = room.busy(mebibytes);
        if (view.mayMove()) {
            busy.ifPresent(heldBack::addAll);
        }
        return busy.isPresent();
    }

    private boolean hasCopy(ModelId id) {
        return view.inventory().copiesOf(id).stream()
                .anyMatch(copy -> copy.state() != EngineInventory.Residence.UNLOADING);
    }

    private boolean isLoading(ModelId id) {
        return view.underWay().stream()
                        .anyMatch(
                                change ->
                                        change.kind() == OrderKind.LOAD_MODEL
                                                && change.model().equals(id))
                || loads.stream().anyMatch(change -> change.model().equals(id));
    }

    private void load(Configuration.Model model, AcceleratorId accelerator, String cause) {
        room.take(accelerator, model.memoryMebibytes());
        loads.add(
                new Change(
                        OrderKind.LOAD_MODEL,
                        accelerator,
                        model.id(),
                        Optional.empty(),
                        model.version(),
                        model.memoryMebibytes(),
                        cause));
    }

    private boolean adapter(ModelId base, AdapterId id, String cause) {
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
        return copy.map(on -> adapterOn(on, adapter.get(), cause)).orElse(true);
    }

    private boolean adapterOn(
            EngineInventory.ModelState copy, Configuration.Adapter adapter, String cause) {
        Optional<EngineInventory.AdapterState> present =
                copy.adapters().stream()
                        .filter(each -> each.adapter().equals(adapter.id()))
                        .findFirst();
        if (present.isPresent()) {
            replaceIfOld(copy, present.get(), adapter);
            return true;
        }
        if (isLoading(adapter.id())) {
            return true;
        }
        if (!room.fitsNow(copy.accelerator(), adapter.memoryMebibytes())) {
            return room.makeFromAdapters(copy.accelerator(), adapter.memoryMebibytes(), cause)
                    || room.make(copy.accelerator(), adapter.memoryMebibytes(), cause);
        }
        room.take(copy.accelerator(), adapter.memoryMebibytes());
        loads.add(
                change(
                        OrderKind.LOAD_ADAPTER,
                        copy,
                        adapter.id(),
                        adapter.version(),
                        adapter.memoryMebibytes(),
                        cause));
        return true;
    }

    // An adapter keeps its name on its base model, so its versions can't stand side by side.
    private void replaceIfOld(
            EngineInventory.ModelState copy,
            EngineInventory.AdapterState present,
            Configuration.Adapter adapter) {
        boolean idle = !view.inUse().contains(Need.of(copy.model(), adapter.id()));
        if (!present.version().equals(adapter.version())
                && present.state() == EngineInventory.Residence.READY
                && idle) {
            loads.add(
                    change(
                            OrderKind.UNLOAD_ADAPTER,
                            copy,
                            adapter.id(),
                            present.version(),
                            present.mebibytes(),
                            CAUSE_VERSION));
        }
    }

    private boolean isLoading(AdapterId id) {
        return view.underWay().stream().anyMatch(change -> change.adapter().equals(Optional.of(id)))
                || loads.stream().anyMatch(change -> change.adapter().equals(Optional.of(id)));
    }

    private static Change change(
            OrderKind kind,
            EngineInventory.ModelState copy,
            AdapterId adapter,
            String version,
            long mebibytes,
            String cause) {
        return new Change(
                kind,
                copy.accelerator(),
                copy.model(),
                Optional.of(adapter),
                version,
                mebibytes,
                cause);
    }

    private void versions() {
        view.inventory().models().stream()
                .filter(EngineInventory.ModelState::isReady)
                .filter(copy -> view.configuration().models().containsKey(copy.model()))
                .filter(copy -> !copy.version().equals(modelOf(copy.model()).version()))
                .forEach(this::replace);
    }

    // An engine holds one version of a model at a time, so the old one goes first. Running requests
    // end before that: an unload under them would cut their answers. Homes of the same model take
    // turns, or it would be gone everywhere while the new version loads.
    private void replace(EngineInventory.ModelState old) {
        if (view.configuredForMillis() < turnOf(old.model()) * TURN_MILLIS) {
            return;
        }
        heldBack.add(old.model());
        if (!view.isModelInUse(old.model()) && !room.isChanging(old)) {
            room.unload(old, CAUSE_VERSION);
        }
    }

    private long turnOf(ModelId model) {
        return view.homesOf(model).stream()
                .filter(home -> home.compareTo(view.target()) < 0)
                .count();
    }

    private Configuration.Model modelOf(ModelId id) {
        return view.configuration().models().get(id);
    }
}
