package org.tamaracktrack.core.placement;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import org.tamaracktrack.core.config.Configuration;
import org.tamaracktrack.core.id.AdapterId;
import org.tamaracktrack.core.id.ModelId;
import org.tamaracktrack.core.id.TargetId;
import org.tamaracktrack.core.log.LogEntry.Placement;

/** Simulates targets that carry out a plan: loads take seconds, unloads are immediate. */
final class SimulatedTargets {
    private static final int MAX_LOAD_SECONDS = 12;

    private final Configuration configuration;
    private final Random random;
    private final Map<TargetId, Map<ModelId, Integer>> remainingLoadSeconds = new TreeMap<>();
    private final Map<TargetId, Set<ModelId>> resident = new TreeMap<>();
    private final Set<TargetId> unreachable = new HashSet<>();
    private final Set<TargetId> leaving = new HashSet<>();
    private final Set<Layout.ModelOnTarget> neverLoaded = new HashSet<>();
    private int loads;
    private int unloads;

    SimulatedTargets(Configuration configuration, long seed) {
        this.configuration = configuration;
        this.random = new Random(seed);
        configuration.targets().keySet().forEach(this::clear);
    }

    private void clear(TargetId target) {
        remainingLoadSeconds.put(target, new HashMap<>());
        resident.put(target, new HashSet<>());
    }

    /** Keeps a target from loading a model, as when no single accelerator has enough memory. */
    void neverLoad(TargetId target, ModelId model) {
        neverLoaded.add(new Layout.ModelOnTarget(model, target));
        resident.get(target).remove(model);
    }

    void lose(TargetId target) {
        unreachable.add(target);
        clear(target);
    }

    void restore(TargetId target) {
        unreachable.remove(target);
        leaving.remove(target);
    }

    void leave(TargetId target) {
        leaving.add(target);
    }

    List<TargetId> available() {
        return resident.keySet().stream()
                .filter(target -> !unreachable.contains(target) && !leaving.contains(target))
                .toList();
    }

    /** Advances the simulation by one second. */
    void advanceOneSecond(Collection<Placement> plan) {
        for (TargetId target : resident.keySet()) {
            if (!unreachable.contains(target)) {
                advanceOneSecond(target, plan);
            }
        }
    }

    private void advanceOneSecond(TargetId target, Collection<Placement> plan) {
        List<ModelId> planned =
                plan.stream()
                        .filter(copy -> copy.target().equals(target))
                        .map(Placement::model)
                        .toList();
        Set<ModelId> residentHere = resident.get(target);
        Map<ModelId, Integer> loading = remainingLoadSeconds.get(target);
        for (ModelId held : List.copyOf(residentHere)) {
            if (!planned.contains(held)) {
                residentHere.remove(held);
                unloads++;
            }
        }
        loading.keySet().retainAll(planned);
        planned.stream()
                .filter(model -> !residentHere.contains(model) && !loading.containsKey(model))
                .filter(model -> !neverLoaded.contains(new Layout.ModelOnTarget(model, target)))
                .forEach(model -> startLoad(loading, model));
        loading.replaceAll((model, seconds) -> seconds - 1);
        for (ModelId model : new ArrayList<>(loading.keySet())) {
            if (loading.get(model) <= 0) {
                loading.remove(model);
                residentHere.add(model);
            }
        }
    }

    private void startLoad(Map<ModelId, Integer> loading, ModelId model) {
        loads++;
        loading.put(model, 1 + random.nextInt(MAX_LOAD_SECONDS));
    }

    Map<TargetId, TargetStatus> statuses() {
        Map<TargetId, TargetStatus> statuses = new HashMap<>();
        resident.keySet().forEach(target -> statuses.put(target, status(target)));
        return statuses;
    }

    private TargetStatus status(TargetId target) {
        Set<ModelId> residentHere = resident.get(target);
        Set<AdapterId> adapters = new HashSet<>();
        configuration.adapters().values().stream()
                .filter(adapter -> residentHere.contains(adapter.base()))
                .forEach(adapter -> adapters.add(adapter.id()));
        return new TargetStatus(
                !unreachable.contains(target),
                leaving.contains(target),
                0,
                0,
                residentHere,
                adapters,
                remainingLoadSeconds.get(target).keySet());
    }

    /** Returns the targets that serve a model; a leaving target still finishes its requests. */
    List<TargetId> serving(ModelId model) {
        return resident.keySet().stream()
                .filter(target -> resident.get(target).contains(model))
                .toList();
    }

    int moves() {
        return loads + unloads;
    }
}
