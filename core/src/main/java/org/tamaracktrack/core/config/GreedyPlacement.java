package org.tamaracktrack.core.config;

import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.tamaracktrack.core.config.Configuration.Accelerator;
import org.tamaracktrack.core.config.Configuration.Model;
import org.tamaracktrack.core.config.Configuration.Target;
import org.tamaracktrack.core.id.ModelId;
import org.tamaracktrack.core.id.TargetId;

/**
 * Places copies of models by best-fit decreasing: largest model first, each into the accelerator
 * with the least sufficient free memory. The packing is not always optimal. Accelerators are
 * indexed by free memory, so that placement is fast for a document of any allowed size.
 */
final class GreedyPlacement {
    private final TreeMap<Long, Deque<TargetId>> targetsByFreeMebibytes = new TreeMap<>();
    private final Map<ModelId, TargetId> latestTargetByModel = new HashMap<>();

    private GreedyPlacement() {}

    static GreedyPlacement of(Configuration configuration) {
        GreedyPlacement placement = new GreedyPlacement();
        configuration.targets().values().stream()
                .sorted(Comparator.comparing(Target::id))
                .forEach(
                        target ->
                                target.accelerators()
                                        .forEach(
                                                accelerator -> placement.add(target, accelerator)));
        return placement;
    }

    private void add(Target target, Accelerator accelerator) {
        addFree(CrossChecks.usableMebibytes(accelerator), target.id());
    }

    private void addFree(long freeMebibytes, TargetId target) {
        targetsByFreeMebibytes
                .computeIfAbsent(freeMebibytes, absent -> new ArrayDeque<>())
                .addLast(target);
    }

    /**
     * Places one more copy of each model, on another target than its previous copy, and returns the
     * models that did not fit.
     */
    List<Model> placeOneCopyOfEach(List<Model> models) {
        return models.stream()
                .sorted(
                        Comparator.comparingLong(Model::memoryMebibytes)
                                .reversed()
                                .thenComparing(Model::id))
                .filter(model -> !place(model))
                .toList();
    }

    private boolean place(Model model) {
        Optional<TargetId> previousTarget =
                Optional.ofNullable(latestTargetByModel.get(model.id()));
        Long freeMebibytes = targetsByFreeMebibytes.ceilingKey(model.memoryMebibytes());
        while (freeMebibytes != null) {
            Optional<TargetId> target = take(freeMebibytes, previousTarget);
            if (target.isPresent()) {
                addFree(freeMebibytes - model.memoryMebibytes(), target.get());
                latestTargetByModel.put(model.id(), target.get());
                return true;
            }
            freeMebibytes = targetsByFreeMebibytes.higherKey(freeMebibytes);
        }
        return false;
    }

    private Optional<TargetId> take(long freeMebibytes, Optional<TargetId> excludedTarget) {
        Deque<TargetId> targets = targetsByFreeMebibytes.get(freeMebibytes);
        Optional<TargetId> found =
                targets.stream()
                        .filter(target -> !excludedTarget.equals(Optional.of(target)))
                        .findFirst();
        found.ifPresent(targets::removeFirstOccurrence);
        if (targets.isEmpty()) {
            targetsByFreeMebibytes.remove(freeMebibytes);
        }
        return found;
    }
}
