package org.tamaracktrack.bench.load;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Random;
import java.util.stream.IntStream;
import org.tamaracktrack.bench.caller.ModelRequest;

/**
 * Arrivals that do not wait for answers, the same for the same seed. Interactive requests rise to a
 * peak in the middle third, all accounts at once; batch requests come evenly beneath. Demand of
 * models falls off as in a Zipf distribution; half of all requests name an adapter.
 */
public final class ArrivalPlan {
    private static final double MILLIS_PER_SECOND = 1000.0;
    private static final double BATCH_PART = 0.25;
    private static final double OFF_PEAK = 0.3;
    private static final double TENFOLD = 10;
    private static final int CHARACTERS_PER_TOKEN = 4;
    private static final int SURGING_MODEL = 12;

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
     * Returns the arrivals of a run.
     *
     * @param user the user
     * @param speed how fast the experiment runs
     * @param seed the seed
     * @param durationMillis how long requests are sent
     * @param loadFactor demand at the peak against what the engines could run at best
     * @param surge whether one model's demand grows tenfold in the second half
     * @return the arrivals in order
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
        plan.fill(loadFactor * speed.engineRate() * user.engines());
        return List.copyOf(plan.arrivals);
    }

    private void fill(double peakPerSecond) {
        double at = 0;
        while (true) {
            at -= Math.log(1 - random.nextDouble()) * MILLIS_PER_SECOND / peakPerSecond;
            if (at >= durationMillis) {
                return;
            }
            // Thinned out from the peak's rate, so that the times of the rest do not change.
            boolean batch = random.nextDouble() < BATCH_PART;
            boolean kept = random.nextDouble() < (batch ? 1 : part(at));
            int model = model(at);
            if (kept) {
                arrivals.add(new Arrival(at, request(arrivals.size(), model, batch)));
            }
        }
    }

    private double part(double at) {
        double third = durationMillis / 3.0;
        return at >= third && at < 2 * third ? 1 : OFF_PEAK;
    }

    private int model(double at) {
        boolean surging = surge && at > durationMillis / 2.0;
        double[] weights =
                IntStream.range(0, user.models())
                        .mapToDouble(
                                model ->
                                        (surging && model == SURGING_MODEL ? TENFOLD : 1)
                                                / (model + 1.0))
                        .toArray();
        double left =
                random.nextDouble()
                        * IntStream.range(0, weights.length)
                                .mapToDouble(model -> weights[model])
                                .sum();
        int model = 0;
        while (model < weights.length - 1 && left >= weights[model]) {
            left -= weights[model];
            model++;
        }
        return model;
    }

    private ModelRequest request(int number, int model, boolean batch) {
        String account = user.accountNames().get(random.nextInt(user.accounts().size()));
        Optional<String> adapter =
                Optional.of(model + user.models() * random.nextInt(3))
                        .filter(index -> random.nextBoolean() && index < user.adapters())
                        .map(index -> user.adapterNames().get(index));
        // A site's prompts begin alike, as a form does.
        String form = "form of model " + model + " kind " + random.nextInt(4) + " ";
        String filler = form.repeat(speed.promptTokens() * CHARACTERS_PER_TOKEN / form.length());
        return new ModelRequest(
                ExperimentDocument.key(account),
                user.modelNames().get(model),
                adapter,
                batch ? "batch" : "interactive",
                filler + "request " + number,
                speed.answerTokens(),
                true,
                random.nextInt(5) != 0,
                Optional.empty());
    }
}
