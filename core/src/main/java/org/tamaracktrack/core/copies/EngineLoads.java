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
 * of a model fill its engines up to the same level.
 *
 * <p>When load was estimated by model only, an engine with four rarely requested models appeared as
 * loaded as one with the two busiest models, and stayed idle while other engines refused requests.
 */
final class EngineLoads {
    /** Rounds of rebalancing all models. Two rounds come within a few percent of an even level. */
    private static final int BALANCING_ROUNDS = 2;

    private final Map<ModelId, Map<TargetIncarnation, Double>> shares = new HashMap<>();
    private final Map<TargetIncarnation, Double> loads = new HashMap<>();
    private final Map<ModelId, Baseline> baselines = new HashMap<>();
    private final double saturationRate;

    /** The part of a gain that does not depend on the engine of the additional replica. */
    private record Baseline(double[] bases, double inTime) {}

    private EngineLoads(double saturationRate) {
        this.saturationRate = saturationRate;
    }

    /**
     * Distributes requests over replicas.
     *
     * @param replicas the engines that hold each model
     * @param rates requests per second by model
     * @param saturationRate requests per second at which an engine answers 70 % in time
     * @return the loads
     */
    static EngineLoads of(
            Map<ModelId, List<TargetIncarnation>> replicas,
            Map<ModelId, Double> rates,
            double saturationRate) {
        Objects.requireNonNull(replicas, "replicas is null");
        Objects.requireNonNull(rates, "rates is null");
        EngineLoads engineLoads = new EngineLoads(saturationRate);
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
                    double newPart = Math.max(0, level - base);
                    loads.put(engine, base + newPart);
                    return newPart;
                });
    }

    private static double sum(Map<TargetIncarnation, Double> share) {
        return share.values().stream().mapToDouble(Double::doubleValue).sum();
    }

    /** Returns the loads of a model's engines without its own requests, in ascending order. */
    private double[] bases(Map<TargetIncarnation, Double> share) {
        double[] bases = new double[share.size()];
        int count = 0;
        for (Map.Entry<TargetIncarnation, Double> entry : share.entrySet()) {
            bases[count++] = loads.get(entry.getKey()) - entry.getValue();
        }
        Arrays.sort(bases);
        return bases;
    }

    /**
     * Returns the load up to which requests fill engines that already have the given base loads.
     */
    private static double fillLevel(double amount, double[] leastFirst) {
        double below = 0;
        for (int count = 1; count < leastFirst.length; count++) {
            below += leastFirst[count - 1];
            double level = (amount + below) / count;
            if (level <= leastFirst[count]) {
                return level;
            }
        }
        return (amount + below + leastFirst[leastFirst.length - 1]) / leastFirst.length;
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
                .mapToDouble(engine -> load(engine) - inTimeRate(load(engine)))
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
        double base = Math.max(0, load(engine) - freed);
        double[] bases = Arrays.copyOf(baseline.bases(), baseline.bases().length + 1);
        bases[bases.length - 1] = base;
        Arrays.sort(bases);
        return inTimeAtLevel(fillLevel(rate, bases), bases) - inTimeRate(base) - baseline.inTime();
    }

    private Baseline baseline(ModelId model) {
        Map<TargetIncarnation, Double> share = shares.getOrDefault(model, Map.of());
        return new Baseline(bases(share), inTimeRate(share));
    }

    private double inTimeRate(Map<TargetIncarnation, Double> share) {
        return share.keySet().stream().mapToDouble(other -> inTimeRate(load(other))).sum();
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
        double remaining = inTimeRate(load(engine) - share(model, engine));
        others.remove(engine);
        if (others.isEmpty()) {
            return before - remaining;
        }
        double[] bases = bases(others);
        return before - remaining - inTimeAtLevel(fillLevel(sum(share), bases), bases);
    }

    private double inTimeAtLevel(double level, double[] bases) {
        return Arrays.stream(bases).map(base -> inTimeRate(Math.max(level, base))).sum();
    }

    /** Returns how many requests per second an engine answers in time at a given load. */
    private double inTimeRate(double load) {
        double relativeLoad = load / saturationRate;
        return load / Math.sqrt(1 + relativeLoad * relativeLoad);
    }
}
