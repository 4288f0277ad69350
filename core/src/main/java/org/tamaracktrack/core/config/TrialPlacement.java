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
 * Tries to place copies of models: largest first, each into the accelerator that it fills best. Not
 * always the best packing there is. Accelerators are kept by free memory, so that a document of any
 * allowed size is tried in a moment.
 */
final class TrialPlacement {
    private final TreeMap<Long, Deque<TargetId>> free = new TreeMap<>();
    private final Map<ModelId, TargetId> placed = new HashMap<>();

    private TrialPlacement() {}

    static TrialPlacement of(Configuration configuration) {
        TrialPlacement placement = new TrialPlacement();
        configuration.targets().values().stream()
                .sorted(Comparator.comparing(Target::id))
                .forEach(
                        target -> target.accelerators().forEach(one -> placement.add(target, one)));
        return placement;
    }

    private void add(Target target, Accelerator accelerator) {
        put(CrossChecks.usable(accelerator), target.id());
    }

    private void put(long mebibytes, TargetId target) {
        free.computeIfAbsent(mebibytes, absent -> new ArrayDeque<>()).addLast(target);
    }

    /** Places one more copy of each model, on another target than the copy before. */
    List<Model> leftOver(List<Model> models) {
        return models.stream()
                .sorted(
                        Comparator.comparingLong(Model::memoryMebibytes)
                                .reversed()
                                .thenComparing(Model::id))
                .filter(model -> !place(model))
                .toList();
    }

    private boolean place(Model model) {
        Optional<TargetId> before = Optional.ofNullable(placed.get(model.id()));
        Long size = free.ceilingKey(model.memoryMebibytes());
        while (size != null) {
            Optional<TargetId> target = take(size, before);
            if (target.isPresent()) {
                put(size - model.memoryMebibytes(), target.get());
                placed.put(model.id(), target.get());
                return true;
            }
            size = free.higherKey(size);
        }
        return false;
    }

    private Optional<TargetId> take(long size, Optional<TargetId> not) {
        Deque<TargetId> targets = free.get(size);
        Optional<TargetId> found =
                targets.stream().filter(target -> !not.equals(Optional.of(target))).findFirst();
        found.ifPresent(targets::removeFirstOccurrence);
        if (targets.isEmpty()) {
            free.remove(size);
        }
        return found;
    }
}
