package org.tamaracktrack.bench.trace;

import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.tamaracktrack.core.id.ModelId;

/**
 * Request rates by model and second, drawn from a seed. The base rates of models are log-normally
 * distributed. The rates rise and fall once over the trace, for all models together, and during
 * bursts the rate of a single model is ten times its base rate.
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
     * Draws a demand trace.
     *
     * @param seed the seed of the random numbers
     * @param models the models, in the order in which their rates are drawn
     * @param seconds the length of the trace in seconds
     * @param meanPerSecond the mean request rate of all models together, per second
     * @param relativeAmplitude the amplitude of the common rise and fall as a fraction of the base
     *     rate, 0 to 1
     * @return the trace
     */
    static DemandTrace of(
            long seed,
            List<ModelId> models,
            int seconds,
            double meanPerSecond,
            double relativeAmplitude) {
        Random random = new Random(seed);
        Map<ModelId, double[]> rates = new HashMap<>();
        models.forEach(model -> rates.put(model, drawRates(random, seconds, relativeAmplitude)));
        double sum = rates.values().stream().flatMapToDouble(Arrays::stream).sum();
        double scale = meanPerSecond * seconds / sum;
        rates.values()
                .forEach(
                        modelRates -> {
                            for (int second = 0; second < seconds; second++) {
                                modelRates[second] *= scale;
                            }
                        });
        return new DemandTrace(rates);
    }

    private static double[] drawRates(Random random, int seconds, double relativeAmplitude) {
        double base = Math.exp(random.nextGaussian());
        double[] rates = new double[seconds];
        for (int second = 0; second < seconds; second++) {
            rates[second] =
                    base * (1 - relativeAmplitude * Math.cos(2 * Math.PI * second / seconds));
        }
        int bursts = (int) Math.round(BURSTS_PER_MODEL_AND_HOUR * seconds / 3_600);
        for (int burst = 0; burst < bursts; burst++) {
            int startSecond = random.nextInt(seconds);
            int burstSeconds =
                    SHORTEST_BURST_SECONDS
                            + random.nextInt(LONGEST_BURST_SECONDS - SHORTEST_BURST_SECONDS);
            for (int second = startSecond;
                    second < Math.min(seconds, startSecond + burstSeconds);
                    second++) {
                rates[second] = base * BURST_FACTOR;
            }
        }
        return rates;
    }

    double requestsPerSecond(ModelId model, int second) {
        return rates.get(model)[second];
    }
}
