package org.tamaracktrack.bench.trace;

import java.io.PrintStream;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.function.ToDoubleFunction;
import java.util.stream.IntStream;
import org.tamaracktrack.core.config.Configuration;
import org.tamaracktrack.core.id.ModelId;
import org.tamaracktrack.core.placement.HysteresisPlacement;
import org.tamaracktrack.core.placement.PlacementKind;
import org.tamaracktrack.core.placement.PlacementPolicy;

/** Prints attainment and moves of each policy over both users' demand, mean and spread of seeds. */
public final class PlacementTraceCommand {
    private static final int SECONDS = 3_600;
    private static final double PEAK = 0.4;

    private final PrintStream out;
    private final int seeds;

    private PlacementTraceCommand(PrintStream out, int seeds) {
        this.out = out;
        this.seeds = seeds;
    }

    /**
     * Returns the command.
     *
     * @param out where it prints
     * @param seeds how many seeds each figure is the mean of
     * @return the command
     */
    public static PlacementTraceCommand of(PrintStream out, int seeds) {
        return new PlacementTraceCommand(out, seeds);
    }

    /**
     * Prints the policies side by side.
     *
     * @param trials what to try
     */
    void run(Trials trials) {
        Arrays.stream(TraceUser.values()).forEach(user -> run(user, trials));
    }

    private void run(TraceUser user, Trials trials) {
        for (Scenario scenario : Arrays.copyOf(Scenario.values(), trials.scenarios())) {
            out.printf(
                    Locale.ROOT,
                    "%n%s, %s, %d seeds of %d s, mean (standard deviation)%n",
                    user.text(),
                    scenario.text,
                    seeds,
                    SECONDS);
            out.println("| policy | served in class | per accelerator and hour | moves |");
            out.println("|---|---|---|---|");
            for (PlacementKind kind : List.of(PlacementKind.STATIC, PlacementKind.LRU)) {
                row(kind.name(), results(user, scenario, 0, kind::policy));
            }
            row("GREEDY", results(user, scenario, 0, PlacementKind.GREEDY::policy));
            trials.hysteresis().forEach(trial -> row(user, scenario, trial));
        }
    }

    private void row(TraceUser user, Scenario scenario, Trial trial) {
        row(
                String.format(
                        Locale.ROOT,
                        "HYSTERESIS moveCost %.3g payback %d s patience %.1f",
                        trial.moveCost(),
                        trial.paybackSeconds(),
                        trial.patience()),
                results(
                        user,
                        scenario,
                        trial.moveCost(),
                        () ->
                                Optional.of(
                                        HysteresisPlacement.of(
                                                trial.paybackSeconds() * 1_000L,
                                                trial.patience()))));
    }

    /**
     * What to try.
     *
     * @param scenarios how many of the scenarios, in their order
     * @param hysteresis the settings of the hysteresis policy
     */
    record Trials(int scenarios, List<Trial> hysteresis) {}

    /**
     * Settings of the hysteresis policy.
     *
     * @param moveCost the weight of a move
     * @param paybackSeconds the time over which a gain is weighed
     * @param patience how long a change has to pay
     */
    record Trial(double moveCost, int paybackSeconds, double patience) {}

    private enum Scenario {
        LIGHT("0.7 of capacity", 0.7, 2, -1),
        FULL("1.0 of capacity", 1.0, 2, -1),
        HEAVY("1.5 of capacity", 1.5, 2, -1),
        LAG("0.7 of capacity, reports lag 10 s", 0.7, 10, -1),
        LOSS("0.7 of capacity, an engine lost at half time", 0.7, 2, SECONDS / 2);

        private final String text;
        private final double load;
        private final PlacementTrace.Circumstances circumstances;

        Scenario(String text, double load, int lagSeconds, int loseAtSecond) {
            this.text = text;
            this.load = load;
            this.circumstances = new PlacementTrace.Circumstances(lagSeconds, loseAtSecond);
        }
    }

    /** Makes a policy without history. */
    private interface NewPolicy {
        Optional<PlacementPolicy> get();
    }

    private List<PlacementTrace.Result> results(
            TraceUser user, Scenario scenario, double moveCost, NewPolicy policy) {
        return IntStream.range(0, seeds)
                .parallel()
                .mapToObj(seed -> result(user, scenario, moveCost, policy, seed))
                .toList();
    }

    private static PlacementTrace.Result result(
            TraceUser user, Scenario scenario, double moveCost, NewPolicy policy, int seed) {
        Configuration configuration = user.configuration(seed, moveCost);
        List<ModelId> models = configuration.models().keySet().stream().sorted().toList();
        DemandTrace demand =
                DemandTrace.of(
                        seed, models, SECONDS, scenario.load * TraceUser.capacityPerSecond(), PEAK);
        return new PlacementTrace(configuration, demand, policy.get(), scenario.circumstances, seed)
                .run(SECONDS);
    }

    private void row(String name, List<PlacementTrace.Result> results) {
        out.printf(
                Locale.ROOT,
                "| %s | %s | %s | %s |%n",
                name,
                spread(results, "%.4f", PlacementTrace.Result::attainment),
                spread(results, "%.0f", one -> one.served() / 0.9 / TraceUser.accelerators()),
                spread(results, "%.0f", PlacementTrace.Result::moves));
    }

    private static String spread(
            List<PlacementTrace.Result> results,
            String format,
            ToDoubleFunction<PlacementTrace.Result> value) {
        double mean = results.stream().mapToDouble(value).average().orElse(0);
        double variance =
                results.stream()
                        .mapToDouble(one -> Math.pow(value.applyAsDouble(one) - mean, 2))
                        .average()
                        .orElse(0);
        return String.format(Locale.ROOT, format, mean)
                + " ("
                + String.format(Locale.ROOT, format, Math.sqrt(variance))
                + ")";
    }
}
