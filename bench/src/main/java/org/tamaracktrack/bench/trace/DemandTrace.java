package org.tamaracktrack.bench.trace;

import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.tamaracktrack.core.id.ModelId;

/**
 * Requests a second by model and second: a skewed base, a shared rise and fall, and bursts of
 * single models to ten times their base, drawn from a seed.
 */
final class DemandTrace {
    private static final double BURST_FACTOR = 10;
    private static final double BURSTS_PER_MODEL_AND_HOUR = 1.5;
    private static final int SHORTEST_BURST_SECONDS = 60;
    private static final int LONGEST_BURST_SECONDS = 600;

    private final Map<ModelId, double[]> rates;

    private DemandTrace(Map<ModelId, double[]> rates) {
        this.rates = rates;
    }

    /**
     * Draws a trace.
     *
     * @param seed the seed
     * @param models the models
     * @param seconds how long
     * @param meanPerSecond the mean of all models together
     * @param peak how far the shared rise goes above the mean, 0 to 1
     * @return the trace
     */
    static DemandTrace of(
            long seed, List<ModelId> models, int seconds, double meanPerSecond, double peak) {
        Random random = new Random(seed);
        Map<ModelId, double[]> rates = new HashMap<>();
        models.forEach(model -> rates.put(model, shape(random, seconds, peak)));
        double sum = rates.values().stream().flatMapToDouble(Arrays::stream).sum();
        double scale = meanPerSecond * seconds / sum;
        rates.values()
                .forEach(
                        one -> {
                            for (int second = 0; second < seconds; second++) {
                                one[second] *= scale;
                            }
                        });
        return new DemandTrace(rates);
    }

    private static double[] shape(Random random, int seconds, double peak) {
        double base = Math.exp(random.nextGaussian());
        double[] rate = new double[seconds];
        for (int second = 0; second < seconds; second++) {
            rate[second] = base * (1 - peak * Math.cos(2 * Math.PI * second / seconds));
        }
        int bursts = (int) Math.round(BURSTS_PER_MODEL_AND_HOUR * seconds / 3_600);
        for (int burst = 0; burst < bursts; burst++) {
            int from = random.nextInt(seconds);
            int length =
                    SHORTEST_BURST_SECONDS
                            + random.nextInt(LONGEST_BURST_SECONDS - SHORTEST_BURST_SECONDS);
            for (int second = from; second < Math.min(seconds, from + length); second++) {
                rate[second] = base * BURST_FACTOR;
            }
        }
        return rate;
    }

    double perSecond(ModelId model, int second) {
        return rates.get(model)[second];
    }
}
