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

/**
 * A fake of an engine and its target daemon: the memory of each accelerator, loads of models and
 * adapters, and a queue of requests.
 */
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

    /**
     * A copy of a model that is resident or loading. Its adapters are loaded after it, one by one.
     */
    private static final class Copy {
        private final int acceleratorIndex;
        private final long mebibytes;
        private final List<Double> remainingMebibytes;
        private boolean transferring;
        private int lastUsedSecond;

        private Copy(int acceleratorIndex, long mebibytes, List<Double> remainingMebibytes) {
            this.acceleratorIndex = acceleratorIndex;
            this.mebibytes = mebibytes;
            this.remainingMebibytes = remainingMebibytes;
        }

        private boolean ready() {
            return remainingMebibytes.isEmpty();
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

    void fail() {
        up = false;
        copies.values().stream().filter(copy -> copy.transferring).forEach(copy -> store.finish());
        copies.clear();
        queued = 0;
    }

    boolean up() {
        return up;
    }

    boolean ready(ModelId model) {
        return up && copies.containsKey(model) && copies.get(model).ready();
    }

    boolean holds(ModelId model) {
        return copies.containsKey(model);
    }

    double waitSeconds() {
        return Math.max(0, queued - TraceUser.SLOTS_PER_ENGINE)
                * TraceUser.SECONDS_PER_REQUEST
                / TraceUser.SLOTS_PER_ENGINE;
    }

    void enqueue(ModelId model, int second) {
        queued++;
        copies.get(model).lastUsedSecond = second;
    }

    /** Serves requests and continues loads for one second. */
    void advanceOneSecond() {
        double served = TraceUser.SLOTS_PER_ENGINE / TraceUser.SECONDS_PER_REQUEST;
        queued = Math.max(0, queued - Math.min(served, queued / TraceUser.SECONDS_PER_REQUEST));
        copies.values().forEach(this::transfer);
    }

    private void transfer(Copy copy) {
        if (copy.ready()) {
            return;
        }
        if (!copy.transferring && store.tryStart()) {
            copy.transferring = true;
            loads++;
        }
        if (!copy.transferring) {
            return;
        }
        copy.remainingMebibytes.set(
                0,
                copy.remainingMebibytes.get(0) - MEBIBYTES_PER_SECOND * store.transferFraction());
        if (copy.remainingMebibytes.get(0) <= 0) {
            copy.remainingMebibytes.remove(0);
            copy.transferring = false;
            store.finish();
        }
    }

    /**
     * Loads the copies that the plan places on this target and are not there, and unloads copies
     * that the plan does not place here where memory is needed.
     */
    void applyPlan(Collection<Placement> plan, int second) {
        Map<ModelId, Placement> plannedHere =
                plan.stream()
                        .filter(placement -> placement.target().equals(target.id()))
                        .collect(Collectors.toMap(Placement::model, placement -> placement));
        plannedHere.values().stream()
                .filter(placement -> !copies.containsKey(placement.model()))
                .forEach(
                        placement ->
                                load(
                                        placement.model(),
                                        placement.adapters(),
                                        plannedHere.keySet(),
                                        second));
    }

    /**
     * Loads a model and its adapters for a waiting request. If memory is short, evicts the least
     * recently used models that are not in {@code retained}. Returns whether the load was begun.
     */
    boolean loadOnDemand(ModelId model, int second, Set<ModelId> retained) {
        List<AdapterId> adapters =
                configuration.adapters().values().stream()
                        .filter(adapter -> adapter.base().equals(model))
                        .map(Configuration.Adapter::id)
                        .toList();
        return load(model, adapters, retained, second);
    }

    private boolean load(
            ModelId model, List<AdapterId> adapters, Set<ModelId> retained, int second) {
        long weightsMebibytes = configuration.models().get(model).memoryMebibytes();
        List<Double> transferMebibytes = new ArrayList<>(List.of((double) weightsMebibytes));
        adapters.forEach(
                adapter ->
                        transferMebibytes.add(
                                (double) configuration.adapters().get(adapter).memoryMebibytes()));
        long mebibytes = (long) transferMebibytes.stream().mapToDouble(Double::doubleValue).sum();
        Optional<Integer> accelerator = makeRoom(mebibytes, retained);
        accelerator.ifPresent(
                acceleratorIndex -> {
                    Copy copy = new Copy(acceleratorIndex, mebibytes, transferMebibytes);
                    copy.lastUsedSecond = second;
                    copies.put(model, copy);
                });
        return accelerator.isPresent();
    }

    /** Returns an accelerator with enough free memory, after evicting copies if necessary. */
    private Optional<Integer> makeRoom(long mebibytes, Set<ModelId> retained) {
        List<Integer> accelerators = new ArrayList<>();
        for (int index = 0; index < target.accelerators().size(); index++) {
            accelerators.add(index);
        }
        return accelerators.stream()
                .filter(index -> freeMebibytes(index) >= mebibytes)
                .max(Comparator.comparingLong(this::freeMebibytes))
                .or(
                        () ->
                                accelerators.stream()
                                        .filter(index -> evictUntilFree(index, mebibytes, retained))
                                        .findFirst());
    }

    private long freeMebibytes(int acceleratorIndex) {
        Configuration.Accelerator accelerator = target.accelerators().get(acceleratorIndex);
        return accelerator.memoryMebibytes()
                - accelerator.cacheMebibytes()
                - copies.values().stream()
                        .filter(copy -> copy.acceleratorIndex == acceleratorIndex)
                        .mapToLong(copy -> copy.mebibytes)
                        .sum();
    }

    private boolean evictUntilFree(int acceleratorIndex, long mebibytes, Set<ModelId> retained) {
        List<ModelId> idle =
                copies.entrySet().stream()
                        .filter(entry -> entry.getValue().acceleratorIndex == acceleratorIndex)
                        .filter(
                                entry ->
                                        entry.getValue().ready()
                                                && !retained.contains(entry.getKey()))
                        .sorted(Comparator.comparingInt(entry -> entry.getValue().lastUsedSecond))
                        .map(Map.Entry::getKey)
                        .toList();
        long attainableMebibytes =
                freeMebibytes(acceleratorIndex)
                        + idle.stream().mapToLong(model -> copies.get(model).mebibytes).sum();
        if (attainableMebibytes < mebibytes) {
            return false;
        }
        for (ModelId model : idle) {
            if (freeMebibytes(acceleratorIndex) < mebibytes) {
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
                (int) Math.min(queued, TraceUser.SLOTS_PER_ENGINE),
                (int) Math.max(0, queued - TraceUser.SLOTS_PER_ENGINE),
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
