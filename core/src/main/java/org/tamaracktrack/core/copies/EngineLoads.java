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
 * How the requests of each model spread over the engines that hold it, and how many of them are
 * answered in time: requests go where they wait least, so a model's requests fill its engines up to
 * one level.
 *
 * <p>Counted by model alone, an engine with four rarely asked models looked as much in use as one
 * with the two busiest, and stayed idle while others refused.
 */
final class EngineLoads {
    /** Rounds of spreading one model after the other; two come within a few percent of level. */
    private static final int ROUNDS = 2;

    private final Map<ModelId, Map<TargetIncarnation, Double>> shares = new HashMap<>();
    private final Map<TargetIncarnation, Double> loads = new HashMap<>();
    private final Map<ModelId, Filling> fillings = new HashMap<>();
    private final double busyRate;

    /** What does not depend on where a further copy of a model would be. */
    private record Filling(double[] bases, double inTime) {}

    private EngineLoads(double busyRate) {
        this.busyRate = busyRate;
    }

    /**
     * Spreads requests over copies.
     *
     * @param copies the engines that hold each model
     * @param rates requests a second by model
     * @param busyRate requests a second at which an engine answers seven of ten in time
     * @return the loads
     */
    static EngineLoads of(
            Map<ModelId, List<TargetIncarnation>> copies,
            Map<ModelId, Double> rates,
            double busyRate) {
        Objects.requireNonNull(copies, "copies is null");
        Objects.requireNonNull(rates, "rates is null");
        EngineLoads spread = new EngineLoads(busyRate);
        copies.forEach(
                (model, engines) ->
                        spread.beginEvenly(model, engines, rates.getOrDefault(model, 0.0)));
        List<ModelId> busiestFirst =
                copies.keySet().stream()
                        .sorted(
                                Comparator.comparingDouble(
                                        model -> -rates.getOrDefault(model, 0.0)))
                        .collect(Collectors.toList());
        for (int round = 0; round < ROUNDS; round++) {
            busiestFirst.forEach(spread::level);
        }
        return spread;
    }

    private void beginEvenly(ModelId model, List<TargetIncarnation> engines, double rate) {
        Map<TargetIncarnation, Double> share = new HashMap<>();
        engines.forEach(engine -> share.put(engine, rate / engines.size()));
        shares.put(model, share);
        share.forEach((engine, part) -> loads.merge(engine, part, Double::sum));
    }

    private void level(ModelId model) {
        Map<TargetIncarnation, Double> share = shares.get(model);
        double rate = sum(share);
        if (share.size() < 2 || rate == 0) {
            return;
        }
        double level = levelOf(rate, bases(share));
        share.replaceAll(
                (engine, part) -> {
                    double base = loads.get(engine) - part;
                    double newer = Math.max(0, level - base);
                    loads.put(engine, base + newer);
                    return newer;
                });
    }

    private static double sum(Map<TargetIncarnation, Double> share) {
        return share.values().stream().mapToDouble(Double::doubleValue).sum();
    }

    /** The load of a model's engines without its own requests, least first. */
    private double[] bases(Map<TargetIncarnation, Double> share) {
        double[] bases = new double[share.size()];
        int count = 0;
        for (Map.Entry<TargetIncarnation, Double> entry : share.entrySet()) {
            bases[count++] = loads.get(entry.getKey()) - entry.getValue();
        }
        Arrays.sort(bases);
        return bases;
    }

    /** The load up to which requests fill engines that have their bases of other work already. */
    private static double levelOf(double amount, double[] leastFirst) {
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
     * Returns the requests a second that a model sends to an engine.
     *
     * @param model the model
     * @param engine the engine
     * @return its share there
     */
    double share(ModelId model, TargetIncarnation engine) {
        return shares.getOrDefault(model, Map.of()).getOrDefault(engine, 0.0);
    }

    /**
     * Returns how many requests a second are late at the engines that hold a model. One more copy
     * can't gain more, whatever is moved to it.
     *
     * @param model the model
     * @return requests a second
     */
    double late(ModelId model) {
        return shares.getOrDefault(model, Map.of()).keySet().stream()
                .mapToDouble(engine -> load(engine) - inTime(load(engine)))
                .sum();
    }

    /**
     * Returns how many more requests a second are in time with one more copy.
     *
     * @param model the model
     * @param rate requests a second for it
     * @param engine where the copy would be
     * @param freed requests a second that the engine would no longer get otherwise
     * @return the gain
     */
    double gain(ModelId model, double rate, TargetIncarnation engine, double freed) {
        Filling filling = fillings.computeIfAbsent(model, this::filling);
        double base = Math.max(0, load(engine) - freed);
        double[] bases = Arrays.copyOf(filling.bases(), filling.bases().length + 1);
        bases[bases.length - 1] = base;
        Arrays.sort(bases);
        return filled(levelOf(rate, bases), bases) - inTime(base) - filling.inTime();
    }

    private Filling filling(ModelId model) {
        Map<TargetIncarnation, Double> share = shares.getOrDefault(model, Map.of());
        return new Filling(bases(share), inTime(share));
    }

    private double inTime(Map<TargetIncarnation, Double> share) {
        return share.keySet().stream().mapToDouble(other -> inTime(load(other))).sum();
    }

    /**
     * Returns how many requests a second are no longer in time without a copy, if others remain.
     *
     * @param model the model
     * @param engine where the copy is
     * @return the loss
     */
    double loss(ModelId model, TargetIncarnation engine) {
        Map<TargetIncarnation, Double> share = shares.getOrDefault(model, Map.of());
        double before = inTime(share);
        Map<TargetIncarnation, Double> others = new HashMap<>(share);
        double left = inTime(load(engine) - share(model, engine));
        others.remove(engine);
        if (others.isEmpty()) {
            return before - left;
        }
        double[] bases = bases(others);
        return before - left - filled(levelOf(sum(share), bases), bases);
    }

    private double filled(double level, double[] bases) {
        return Arrays.stream(bases).map(base -> inTime(Math.max(level, base))).sum();
    }

    /** Requests a second that an engine answers in time, of those that it gets. */
    private double inTime(double load) {
        double busy = load / busyRate;
        return load / Math.sqrt(1 + busy * busy);
    }
}
