package org.tamaracktrack.bench.trace;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.tamaracktrack.core.config.Configuration;
import org.tamaracktrack.core.id.AdapterId;
import org.tamaracktrack.core.id.ModelId;
import org.tamaracktrack.core.log.LogEntry.Placement;
import org.tamaracktrack.core.placement.TargetStatus;

/** An engine and the process beside it: memory by accelerator, loads, and a queue. */
final class FakeEngine {
    private static final double MEBIBYTES_PER_SECOND = 1_000;

    private final Configuration.Target target;
    private final Configuration configuration;
    private final FakeWeightStore store;
    private final Map<ModelId, Copy> copies = new TreeMap<>();
    private double queued;
    private int loads;
    private int unloads;
    private boolean up = true;

    /** A copy in memory or on its way; its adapters are loaded after it, one by one. */
    private static final class Copy {
        private final int accelerator;
        private final long mebibytes;
        private final List<Double> remaining;
        private boolean transferring;
        private int usedAtSecond;

        private Copy(int accelerator, long mebibytes, List<Double> remaining) {
            this.accelerator = accelerator;
            this.mebibytes = mebibytes;
            this.remaining = remaining;
        }

        private boolean ready() {
            return remaining.isEmpty();
        }
    }

    FakeEngine(Configuration.Target target, Configuration configuration, FakeWeightStore store) {
        this.target = target;
        this.configuration = configuration;
        this.store = store;
    }

    Configuration.Target target() {
        return target;
    }

    void lose() {
        up = false;
        copies.values().stream().filter(copy -> copy.transferring).forEach(copy -> store.end());
        copies.clear();
        queued = 0;
    }

    boolean up() {
        return up;
    }

    boolean ready(ModelId model) {
        return up && copies.containsKey(model) && copies.get(model).ready();
    }

    boolean has(ModelId model) {
        return copies.containsKey(model);
    }

    double waitSeconds() {
        return Math.max(0, queued - TraceUser.SLOTS)
                * TraceUser.SECONDS_PER_REQUEST
                / TraceUser.SLOTS;
    }

    void take(ModelId model, int second) {
        queued++;
        copies.get(model).usedAtSecond = second;
    }

    /** A second passes: requests are served, loads go on. */
    void second() {
        double served = TraceUser.SLOTS / TraceUser.SECONDS_PER_REQUEST;
        queued = Math.max(0, queued - Math.min(served, queued / TraceUser.SECONDS_PER_REQUEST));
        copies.values().forEach(this::transfer);
    }

    private void transfer(Copy copy) {
        if (copy.ready()) {
            return;
        }
        if (!copy.transferring && store.start()) {
            copy.transferring = true;
            loads++;
        }
        if (!copy.transferring) {
            return;
        }
        copy.remaining.set(0, copy.remaining.get(0) - MEBIBYTES_PER_SECOND * store.speed());
        if (copy.remaining.get(0) <= 0) {
            copy.remaining.remove(0);
            copy.transferring = false;
            store.end();
        }
    }

    /** Follows a plan: loads what it places here and unloads other copies where room is needed. */
    void follow(Collection<Placement> plan, int second) {
        Map<ModelId, Placement> planned =
                plan.stream()
                        .filter(copy -> copy.target().equals(target.id()))
                        .collect(Collectors.toMap(Placement::model, copy -> copy));
        planned.values().stream()
                .filter(copy -> !copies.containsKey(copy.model()))
                .forEach(copy -> load(copy.model(), copy.adapters(), planned.keySet(), second));
    }

    /** Loads a model for a waiting request, in place of the least recently used. */
    boolean loadOnDemand(ModelId model, int second, Set<ModelId> keep) {
        List<AdapterId> adapters =
                configuration.adapters().values().stream()
                        .filter(adapter -> adapter.base().equals(model))
                        .map(Configuration.Adapter::id)
                        .toList();
        return load(model, adapters, keep, second);
    }

    private boolean load(ModelId model, List<AdapterId> adapters, Set<ModelId> keep, int second) {
        long weights = configuration.models().get(model).memoryMebibytes();
        List<Double> transfers = new ArrayList<>(List.of((double) weights));
        adapters.forEach(
                one -> transfers.add((double) configuration.adapters().get(one).memoryMebibytes()));
        long size = (long) transfers.stream().mapToDouble(Double::doubleValue).sum();
        Optional<Integer> accelerator = room(size, keep);
        accelerator.ifPresent(
                at -> {
                    Copy copy = new Copy(at, size, transfers);
                    copy.usedAtSecond = second;
                    copies.put(model, copy);
                });
        return accelerator.isPresent();
    }

    private Optional<Integer> room(long size, Set<ModelId> keep) {
        List<Integer> accelerators = new ArrayList<>();
        for (int at = 0; at < target.accelerators().size(); at++) {
            accelerators.add(at);
        }
        return accelerators.stream()
                .filter(at -> free(at) >= size)
                .max(Comparator.comparingLong(this::free))
                .or(() -> accelerators.stream().filter(at -> evict(at, size, keep)).findFirst());
    }

    private long free(int accelerator) {
        Configuration.Accelerator one = target.accelerators().get(accelerator);
        return one.memoryMebibytes()
                - one.cacheMebibytes()
                - copies.values().stream()
                        .filter(copy -> copy.accelerator == accelerator)
                        .mapToLong(copy -> copy.mebibytes)
                        .sum();
    }

    private boolean evict(int accelerator, long size, Set<ModelId> keep) {
        List<ModelId> idle =
                copies.entrySet().stream()
                        .filter(one -> one.getValue().accelerator == accelerator)
                        .filter(one -> one.getValue().ready() && !keep.contains(one.getKey()))
                        .sorted(Comparator.comparingInt(one -> one.getValue().usedAtSecond))
                        .map(Map.Entry::getKey)
                        .toList();
        long reachable =
                free(accelerator) + idle.stream().mapToLong(one -> copies.get(one).mebibytes).sum();
        if (reachable < size) {
            return false;
        }
        for (ModelId model : idle) {
            if (free(accelerator) < size) {
                unload(model);
            }
        }
        return true;
    }

    private void unload(ModelId model) {
        copies.remove(model);
        long adapters =
                configuration.adapters().values().stream()
                        .filter(adapter -> adapter.base().equals(model))
                        .count();
        unloads += 1 + (int) adapters;
    }

    TargetStatus status() {
        Set<ModelId> resident = new HashSet<>();
        Set<ModelId> loading = new HashSet<>();
        copies.forEach((model, copy) -> (copy.ready() ? resident : loading).add(model));
        Set<AdapterId> adapters =
                configuration.adapters().values().stream()
                        .filter(adapter -> resident.contains(adapter.base()))
                        .map(Configuration.Adapter::id)
                        .collect(Collectors.toSet());
        return new TargetStatus(
                up,
                false,
                (int) Math.min(queued, TraceUser.SLOTS),
                (int) Math.max(0, queued - TraceUser.SLOTS),
                resident,
                adapters,
                loading);
    }

    int loads() {
        return loads;
    }

    int unloads() {
        return unloads;
    }
}
