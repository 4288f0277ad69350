package org.tamaracktrack.core.copies;

import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.stream.Collectors;
import org.tamaracktrack.core.fleet.TargetIncarnation;
import org.tamaracktrack.core.id.ModelId;

/**
 * Models how the requests of each model are distributed over the engines that hold it, and how many
 * of them are answered in time. Requests go to the engine with the shortest wait, so the requests
 * of a model fill its engines up to the same level, relative to what each engine can do.
 *
 * <p>When load was estimated by model only, an engine with four rarely requested models appeared as
 * loaded as one with the two busiest models, and stayed idle while other engines refused requests.
 */
final class EngineLoads {
    /** Rounds of rebalancing all models. Two rounds come within a few percent of an even level. */
    private static final int BALANCING_ROUNDS = 2;

    /** Share of requests in time at which replicas are considered to take additional requests. */
    private static final double SUFFICIENT_IN_TIME_SHARE = 0.9;

    /** Work factor of an engine that is not known to be slower or faster than usual. */
    private static final double USUAL_WORK_FACTOR = 1;

    private final Map<ModelId, Map<TargetIncarnation, Double>> shares = new HashMap<>();
    private final Map<TargetIncarnation, Double> loads = new HashMap<>();
    private final Map<ModelId, Baseline> baselines = new HashMap<>();
    private final double saturationRate;
    private final Map<TargetIncarnation, Double> workFactors;

    /**
     * The load of an engine without the requests that are distributed.
     *
     * @param level its requests per second, multiplied by its work factor
     * @param workFactor by which factor work takes longer than usual
     */
    private record Base(double level, double workFactor) implements Comparable<Base> {

        @Override
        public int compareTo(Base other) {
            return Double.compare(level, other.level);
        }

        double load() {
            return level / workFactor;
        }
    }

    /** The part of a gain that does not depend on the engine of the additional replica. */
    private record Baseline(Base[] bases, double inTime) {}

    private EngineLoads(double saturationRate, Map<TargetIncarnation, Double> workFactors) {
        this.saturationRate = saturationRate;
        this.workFactors = workFactors;
    }

    /**
     * Distributes requests over replicas.
     *
     * @param replicas the engines that hold each model
     * @param rates requests per second by model
     * @param saturationRate requests per second at which an engine of usual speed answers 70 % in
     *     time
     * @param workFactors by which factor work takes longer than usual, by engine; 1 when absent
     * @return the loads
     */
    static EngineLoads of(
            Map<ModelId, List<TargetIncarnation>> replicas,
            Map<ModelId, Double> rates,
            double saturationRate,
            Map<TargetIncarnation, Double> workFactors) {
        Objects.requireNonNull(replicas, "replicas is null");
        Objects.requireNonNull(rates, "rates is null");
        Objects.requireNonNull(workFactors, "workFactors is null");
        EngineLoads engineLoads = new EngineLoads(saturationRate, workFactors);
        replicas.forEach(
                (model, engines) ->
                        engineLoads.spreadEvenly(model, engines, rates.getOrDefault(model, 0.0)));
        List<ModelId> busiestFirst =
                replicas.keySet().stream()
                        .sorted(
                                Comparator.comparingDouble(
                                        model -> -rates.getOrDefault(model, 0.0)))
                        .collect(Collectors.toList());
        for (int round = 0; round < BALANCING_ROUNDS; round++) {
            busiestFirst.forEach(engineLoads::rebalance);
        }
        return engineLoads;
    }

    private void spreadEvenly(ModelId model, List<TargetIncarnation> engines, double rate) {
        Map<TargetIncarnation, Double> share = new HashMap<>();
        engines.forEach(engine -> share.put(engine, rate / engines.size()));
        shares.put(model, share);
        share.forEach((engine, part) -> loads.merge(engine, part, Double::sum));
    }

    private void rebalance(ModelId model) {
        Map<TargetIncarnation, Double> share = shares.get(model);
        double rate = sum(share);
        if (share.size() < 2 || rate == 0) {
            return;
        }
        double level = fillLevel(rate, bases(share));
        share.replaceAll(
                (engine, part) -> {
                    double base = loads.get(engine) - part;
                    double newPart = Math.max(0, level / workFactor(engine) - base);
                    loads.put(engine, base + newPart);
                    return newPart;
                });
    }

    private static double sum(Map<TargetIncarnation, Double> share) {
        return share.values().stream().mapToDouble(Double::doubleValue).sum();
    }

    /** Returns the bases of a model's engines without its own requests, lowest level first. */
    private Base[] bases(Map<TargetIncarnation, Double> share) {
        Base[] bases = new Base[share.size()];
        int count = 0;
        for (Map.Entry<TargetIncarnation, Double> entry : share.entrySet()) {
            bases[count++] = base(entry.getKey(), loads.get(entry.getKey()) - entry.getValue());
        }
        Arrays.sort(bases);
        return bases;
    }

    private Base base(TargetIncarnation engine, double load) {
        double workFactor = workFactor(engine);
        return new Base(load * workFactor, workFactor);
    }

    /**
     * Returns the level up to which requests fill engines that already have the given base loads.
     */
    private static double fillLevel(double amount, Base[] lowestFirst) {
        int lastIndex = lowestFirst.length - 1;
        double below = 0;
        double speed = 0;
        for (int index = 0; index < lastIndex; index++) {
            below += lowestFirst[index].load();
            speed += 1 / lowestFirst[index].workFactor();
            double level = (amount + below) / speed;
            if (level <= lowestFirst[index + 1].level()) {
                return level;
            }
        }
        Base last = lowestFirst[lastIndex];
        return (amount + below + last.load()) / (speed + 1 / last.workFactor());
    }

    private double workFactor(TargetIncarnation engine) {
        return workFactors.getOrDefault(engine, USUAL_WORK_FACTOR);
    }

    private double load(TargetIncarnation engine) {
        return loads.getOrDefault(engine, 0.0);
    }

    /**
     * Returns the requests per second that a model sends to an engine.
     *
     * @param model the model
     * @param engine the engine
     * @return the rate
     */
    double share(ModelId model, TargetIncarnation engine) {
        return shares.getOrDefault(model, Map.of()).getOrDefault(engine, 0.0);
    }

    /**
     * Returns how many requests per second are late at the engines that hold a model. This is the
     * upper bound for the gain of one more replica.
     *
     * @param model the model
     * @return requests per second
     */
    double lateRate(ModelId model) {
        return shares.getOrDefault(model, Map.of()).keySet().stream()
                .mapToDouble(engine -> load(engine) - inTimeRate(engine, load(engine)))
                .sum();
    }

    /**
     * Returns how many more requests per second are answered in time with one more replica.
     *
     * @param model the model
     * @param rate requests per second for the model
     * @param engine the engine of the additional replica
     * @param freed requests per second that the engine no longer receives because replicas are
     *     unloaded
     * @return the gain
     */
    double gain(ModelId model, double rate, TargetIncarnation engine, double freed) {
        Baseline baseline = baselines.computeIfAbsent(model, this::baseline);
        double baseLoad = Math.max(0, load(engine) - freed);
        Base[] bases = with(baseline.bases(), base(engine, baseLoad));
        return inTimeAtLevel(fillLevel(rate, bases), bases)
                - inTimeRate(engine, baseLoad)
                - baseline.inTime();
    }

    private static Base[] with(Base[] lowestFirst, Base added) {
        Base[] bases = Arrays.copyOf(lowestFirst, lowestFirst.length + 1);
        int position = lowestFirst.length;
        while (position > 0 && bases[position - 1].level() > added.level()) {
            bases[position] = bases[position - 1];
            position--;
        }
        bases[position] = added;
        return bases;
    }

    private Baseline baseline(ModelId model) {
        Map<TargetIncarnation, Double> share = shares.getOrDefault(model, Map.of());
        return new Baseline(bases(share), inTimeRate(share));
    }

    private double inTimeRate(Map<TargetIncarnation, Double> share) {
        return share.keySet().stream().mapToDouble(other -> inTimeRate(other, load(other))).sum();
    }

    /**
     * Returns how many requests per second are no longer answered in time without one of the
     * replicas.
     *
     * @param model the model
     * @param engine the engine of the replica
     * @return the loss
     */
    double loss(ModelId model, TargetIncarnation engine) {
        Map<TargetIncarnation, Double> share = shares.getOrDefault(model, Map.of());
        double before = inTimeRate(share);
        Map<TargetIncarnation, Double> others = new HashMap<>(share);
        double remaining = inTimeRate(engine, load(engine) - share(model, engine));
        others.remove(engine);
        if (others.isEmpty()) {
            return before - remaining;
        }
        Base[] bases = bases(others);
        return before - remaining - inTimeAtLevel(fillLevel(sum(share), bases), bases);
    }

    /**
     * Returns whether the other replicas of a model can answer its requests in time without one of
     * the replicas.
     *
     * @param model the model
     * @param engine the engine of the replica
     * @return false when there is no other replica or the others become too busy
     */
    boolean othersSuffice(ModelId model, TargetIncarnation engine) {
        Map<TargetIncarnation, Double> share = shares.getOrDefault(model, Map.of());
        Map<TargetIncarnation, Double> others = new HashMap<>(share);
        others.remove(engine);
        return !others.isEmpty()
                && inTimeShare(fillLevel(sum(share), bases(others))) >= SUFFICIENT_IN_TIME_SHARE;
    }

    /**
     * Returns which share of the given requests is late, if the requests of a model are late as
     * often as all requests at its engines. Requests for models without a replica are late.
     *
     * @param rates requests per second by model
     * @return the share, from 0 to 1; 0 without requests
     */
    double lateShare(Map<ModelId, Double> rates) {
        double total = rates.values().stream().mapToDouble(Double::doubleValue).sum();
        return total <= 0
                ? 0
                : rates.entrySet().stream()
                                .mapToDouble(rate -> rate.getValue() * lateShare(rate.getKey()))
                                .sum()
                        / total;
    }

    private double lateShare(ModelId model) {
        Map<TargetIncarnation, Double> share = shares.getOrDefault(model, Map.of());
        double rate = sum(share);
        return rate <= 0
                ? (share.isEmpty() ? 1 : 0)
                : share.entrySet().stream()
                                .mapToDouble(
                                        part ->
                                                part.getValue()
                                                        * (1 - inTimeShare(level(part.getKey()))))
                                .sum()
                        / rate;
    }

    private double level(TargetIncarnation engine) {
        return load(engine) * workFactor(engine);
    }

    private double inTimeAtLevel(double level, Base[] bases) {
        return Arrays.stream(bases)
                .mapToDouble(
                        base ->
                                inTimeRateAtLevel(Math.max(level, base.level()))
                                        / base.workFactor())
                .sum();
    }

    /** Returns how many requests per second an engine answers in time at a given load. */
    private double inTimeRate(TargetIncarnation engine, double load) {
        double workFactor = workFactor(engine);
        return inTimeRateAtLevel(load * workFactor) / workFactor;
    }

    /** Returns how many requests per second an engine of usual speed answers in time. */
    private double inTimeRateAtLevel(double level) {
        double relativeLoad = level / saturationRate;
        return level / Math.sqrt(1 + relativeLoad * relativeLoad);
    }

    /** Returns which share of its requests an engine answers in time at a given level. */
    private double inTimeShare(double level) {
        double relativeLoad = level / saturationRate;
        return 1 / Math.sqrt(1 + relativeLoad * relativeLoad);
    }
}
