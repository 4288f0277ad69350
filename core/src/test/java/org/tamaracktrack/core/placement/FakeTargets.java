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

/** Targets that follow a plan: a load takes seconds, a copy that the plan dropped goes at once. */
final class FakeTargets {
    private static final int LONGEST_LOAD_SECONDS = 12;

    private final Configuration configuration;
    private final Random random;
    private final Map<TargetId, Map<ModelId, Integer>> loadingSeconds = new TreeMap<>();
    private final Map<TargetId, Set<ModelId>> resident = new TreeMap<>();
    private final Set<TargetId> unreachable = new HashSet<>();
    private final Set<TargetId> leaving = new HashSet<>();
    private final Set<Layout.Place> refused = new HashSet<>();
    private int loads;
    private int unloads;

    FakeTargets(Configuration configuration, long seed) {
        this.configuration = configuration;
        this.random = new Random(seed);
        configuration.targets().keySet().forEach(this::empty);
    }

    private void empty(TargetId target) {
        loadingSeconds.put(target, new HashMap<>());
        resident.put(target, new HashSet<>());
    }

    /** A target never loads a model, as when no accelerator of it has the room in one piece. */
    void refuse(TargetId target, ModelId model) {
        refused.add(new Layout.Place(model, target));
        resident.get(target).remove(model);
    }

    void lose(TargetId target) {
        unreachable.add(target);
        empty(target);
    }

    void comeBack(TargetId target) {
        unreachable.remove(target);
        leaving.remove(target);
    }

    void leave(TargetId target) {
        leaving.add(target);
    }

    List<TargetId> up() {
        return resident.keySet().stream()
                .filter(target -> !unreachable.contains(target) && !leaving.contains(target))
                .toList();
    }

    /** A second passes. */
    void follow(Collection<Placement> plan) {
        for (TargetId target : resident.keySet()) {
            if (!unreachable.contains(target)) {
                follow(target, plan);
            }
        }
    }

    private void follow(TargetId target, Collection<Placement> plan) {
        List<ModelId> planned =
                plan.stream()
                        .filter(copy -> copy.target().equals(target))
                        .map(Placement::model)
                        .toList();
        Set<ModelId> here = resident.get(target);
        Map<ModelId, Integer> loading = loadingSeconds.get(target);
        for (ModelId old : List.copyOf(here)) {
            if (!planned.contains(old)) {
                here.remove(old);
                unloads++;
            }
        }
        loading.keySet().retainAll(planned);
        planned.stream()
                .filter(model -> !here.contains(model) && !loading.containsKey(model))
                .filter(model -> !refused.contains(new Layout.Place(model, target)))
                .forEach(model -> startLoad(loading, model));
        loading.replaceAll((model, seconds) -> seconds - 1);
        for (ModelId model : new ArrayList<>(loading.keySet())) {
            if (loading.get(model) <= 0) {
                loading.remove(model);
                here.add(model);
            }
        }
    }

    private void startLoad(Map<ModelId, Integer> loading, ModelId model) {
        loads++;
        loading.put(model, 1 + random.nextInt(LONGEST_LOAD_SECONDS));
    }

    Map<TargetId, TargetStatus> statuses() {
        Map<TargetId, TargetStatus> statuses = new HashMap<>();
        resident.keySet().forEach(target -> statuses.put(target, status(target)));
        return statuses;
    }

    private TargetStatus status(TargetId target) {
        Set<ModelId> here = resident.get(target);
        Set<AdapterId> adapters = new HashSet<>();
        configuration.adapters().values().stream()
                .filter(adapter -> here.contains(adapter.base()))
                .forEach(adapter -> adapters.add(adapter.id()));
        return new TargetStatus(
                !unreachable.contains(target),
                leaving.contains(target),
                0,
                0,
                here,
                adapters,
                loadingSeconds.get(target).keySet());
    }

    /** Targets on which callers reach a model; one that is leaving still finishes its work. */
    List<TargetId> serving(ModelId model) {
        return resident.keySet().stream()
                .filter(target -> resident.get(target).contains(model))
                .toList();
    }

    int moves() {
        return loads + unloads;
    }
}
