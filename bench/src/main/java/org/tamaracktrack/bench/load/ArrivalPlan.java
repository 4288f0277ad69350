package org.tamaracktrack.bench.load;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Random;
import java.util.stream.IntStream;
import org.tamaracktrack.bench.caller.ModelRequest;

/**
 * Generates the arrivals of an open-loop load from a seed: equal arguments give equal arrivals.
 *
 * <p>Interactive requests of all client accounts reach their peak rate in the middle third of the
 * run; batch requests arrive at a constant rate. Demand for models follows a Zipf distribution, and
 * up to half of the requests name an adapter.
 */
public final class ArrivalPlan {
    private static final double MILLIS_PER_SECOND = 1000.0;
    private static final double BATCH_FRACTION = 0.25;
    private static final double OFF_PEAK_FRACTION = 0.3;
    private static final double SURGE_FACTOR = 10;
    private static final int CHARACTERS_PER_TOKEN = 4;
    private static final int SURGING_MODEL_INDEX = 12;

    private final UserProfile user;
    private final Speed speed;
    private final Random random;
    private final long durationMillis;
    private final boolean surge;
    private final List<Arrival> arrivals = new ArrayList<>();

    private ArrivalPlan(
            UserProfile user, Speed speed, Random random, long durationMillis, boolean surge) {
        this.user = user;
        this.speed = speed;
        this.random = random;
        this.durationMillis = durationMillis;
        this.surge = surge;
    }

    /**
     * Returns the arrivals of one run.
     *
     * @param user the user whose models, adapters and client accounts the requests name
     * @param speed the speed of the experiment and the costs of a request
     * @param seed the seed of the random numbers
     * @param durationMillis the duration of the load in milliseconds
     * @param loadFactor the peak demand as a multiple of the request rate that all engines can
     *     serve together
     * @param surge whether the demand for one model grows tenfold in the second half
     * @return the arrivals in order of time
     */
    public static List<Arrival> of(
            UserProfile user,
            Speed speed,
            long seed,
            long durationMillis,
            double loadFactor,
            boolean surge) {
        Objects.requireNonNull(user, "user is null");
        ArrivalPlan plan = new ArrivalPlan(user, speed, new Random(seed), durationMillis, surge);
        plan.generate(loadFactor * speed.engineRequestsPerSecond() * user.engines());
        return List.copyOf(plan.arrivals);
    }

    private void generate(double peakPerSecond) {
        double atMillis = 0;
        while (true) {
            atMillis -= Math.log(1 - random.nextDouble()) * MILLIS_PER_SECOND / peakPerSecond;
            if (atMillis >= durationMillis) {
                return;
            }
            // Arrivals are drawn at the peak rate and thinned afterwards, so that the times of the
            // accepted ones do not depend on the fractions.
            boolean batch = random.nextDouble() < BATCH_FRACTION;
            boolean accepted = random.nextDouble() < (batch ? 1 : interactiveFraction(atMillis));
            int model = drawModelIndex(atMillis);
            if (accepted) {
                arrivals.add(new Arrival(atMillis, drawRequest(arrivals.size(), model, batch)));
            }
        }
    }

    private double interactiveFraction(double atMillis) {
        double thirdMillis = durationMillis / 3.0;
        return atMillis >= thirdMillis && atMillis < 2 * thirdMillis ? 1 : OFF_PEAK_FRACTION;
    }

    private int drawModelIndex(double atMillis) {
        boolean surging = surge && atMillis > durationMillis / 2.0;
        double[] weights =
                IntStream.range(0, user.models())
                        .mapToDouble(
                                model ->
                                        (surging && model == SURGING_MODEL_INDEX ? SURGE_FACTOR : 1)
                                                / (model + 1.0))
                        .toArray();
        double remainingWeight =
                random.nextDouble()
                        * IntStream.range(0, weights.length)
                                .mapToDouble(model -> weights[model])
                                .sum();
        int model = 0;
        while (model < weights.length - 1 && remainingWeight >= weights[model]) {
            remainingWeight -= weights[model];
            model++;
        }
        return model;
    }

    private ModelRequest drawRequest(int number, int model, boolean batch) {
        String account = user.accountNames().get(random.nextInt(user.accounts().size()));
        Optional<String> adapter =
                Optional.of(model + user.models() * random.nextInt(3))
                        .filter(index -> random.nextBoolean() && index < user.adapters())
                        .map(index -> user.adapterNames().get(index));
        // Prompts of a site share prefixes because they are made from a few form templates.
        String sharedPrefix = "form of model " + model + " kind " + random.nextInt(4) + " ";
        String promptPrefix =
                sharedPrefix.repeat(
                        speed.promptTokens() * CHARACTERS_PER_TOKEN / sharedPrefix.length());
        return new ModelRequest(
                ExperimentDocument.accountKey(account),
                user.modelNames().get(model),
                adapter,
                batch ? "batch" : "interactive",
                promptPrefix + "request " + number,
                speed.answerTokens(),
                true,
                random.nextInt(5) != 0,
                Optional.empty());
    }
}
