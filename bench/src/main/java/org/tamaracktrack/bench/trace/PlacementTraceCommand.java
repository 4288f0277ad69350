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

/**
 * The command {@code placement-trace}: prints the attainment and moves of each placement policy
 * over the demand of both users, as mean and standard deviation over the seeds.
 */
public final class PlacementTraceCommand {
    private static final int RUN_SECONDS = 3_600;
    private static final double RELATIVE_AMPLITUDE = 0.4;

    private final PrintStream out;
    private final int seeds;

    private PlacementTraceCommand(PrintStream out, int seeds) {
        this.out = out;
        this.seeds = seeds;
    }

    /**
     * Returns the command.
     *
     * @param out the stream to which tables are printed
     * @param seeds the number of seeds over which each figure is averaged
     * @return the command
     */
    public static PlacementTraceCommand of(PrintStream out, int seeds) {
        return new PlacementTraceCommand(out, seeds);
    }

    /**
     * Prints a table for each user and scenario, with one row for each policy.
     *
     * @param selection the scenarios and the settings of the hysteresis policy to simulate
     */
    void run(Selection selection) {
        Arrays.stream(TraceUser.values()).forEach(user -> run(user, selection));
    }

    private void run(TraceUser user, Selection selection) {
        for (TraceScenario scenario :
                Arrays.copyOf(TraceScenario.values(), selection.scenarioCount())) {
            out.printf(
                    Locale.ROOT,
                    "%n%s, %s, %d seeds of %d s, mean (standard deviation)%n",
                    user.text(),
                    scenario.text,
                    seeds,
                    RUN_SECONDS);
            out.println("| policy | served in class | per accelerator and hour | moves |");
            out.println("|---|---|---|---|");
            for (PlacementKind kind : List.of(PlacementKind.STATIC, PlacementKind.LRU)) {
                printRow(kind.name(), simulateSeeds(user, scenario, 0, kind::policy));
            }
            printRow("GREEDY", simulateSeeds(user, scenario, 0, PlacementKind.GREEDY::policy));
            selection.hysteresisSettings().forEach(settings -> printRow(user, scenario, settings));
        }
    }

    private void printRow(TraceUser user, TraceScenario scenario, HysteresisSettings settings) {
        printRow(
                String.format(
                        Locale.ROOT,
                        "HYSTERESIS moveCost %.3g payback %d s patience %.1f",
                        settings.moveCost(),
                        settings.paybackSeconds(),
                        settings.persistenceFactor()),
                simulateSeeds(
                        user,
                        scenario,
                        settings.moveCost(),
                        () ->
                                Optional.of(
                                        HysteresisPlacement.of(
                                                settings.paybackSeconds() * 1_000L,
                                                settings.persistenceFactor()))));
    }

    /**
     * The scenarios and policies to simulate.
     *
     * @param scenarioCount the number of scenarios, taken in their order
     * @param hysteresisSettings the settings of the hysteresis policy, one row for each
     */
    record Selection(int scenarioCount, List<HysteresisSettings> hysteresisSettings) {}

    /**
     * Settings of the hysteresis policy.
     *
     * @param moveCost the cost of one load or unload, in requests served within the objective
     * @param paybackSeconds the time over which the additional requests served are weighed against
     *     the cost of the moves, in seconds
     * @param persistenceFactor how long a change must be profitable before it is made, as a
     *     multiple of the expected duration of its moves
     */
    record HysteresisSettings(double moveCost, int paybackSeconds, double persistenceFactor) {}

    private enum TraceScenario {
        LIGHT("0.7 of capacity", 0.7, 2, -1),
        FULL("1.0 of capacity", 1.0, 2, -1),
        HEAVY("1.5 of capacity", 1.5, 2, -1),
        LAG("0.7 of capacity, reports lag 10 s", 0.7, 10, -1),
        LOSS("0.7 of capacity, an engine lost at half time", 0.7, 2, RUN_SECONDS / 2);

        private final String text;
        private final double loadFactor;
        private final PlacementSimulation.Conditions conditions;

        TraceScenario(String text, double loadFactor, int reportLagSeconds, int engineLossSecond) {
            this.text = text;
            this.loadFactor = loadFactor;
            this.conditions =
                    new PlacementSimulation.Conditions(reportLagSeconds, engineLossSecond);
        }
    }

    /** Creates a policy without history for each run; empty stands for loading on demand. */
    private interface PolicyFactory {
        Optional<PlacementPolicy> create();
    }

    private List<PlacementSimulation.Result> simulateSeeds(
            TraceUser user, TraceScenario scenario, double moveCost, PolicyFactory policyFactory) {
        return IntStream.range(0, seeds)
                .parallel()
                .mapToObj(seed -> simulate(user, scenario, moveCost, policyFactory, seed))
                .toList();
    }

    private static PlacementSimulation.Result simulate(
            TraceUser user,
            TraceScenario scenario,
            double moveCost,
            PolicyFactory policyFactory,
            int seed) {
        Configuration configuration = user.configuration(seed, moveCost);
        List<ModelId> models = configuration.models().keySet().stream().sorted().toList();
        DemandTrace demand =
                DemandTrace.of(
                        seed,
                        models,
                        RUN_SECONDS,
                        scenario.loadFactor * TraceUser.capacityPerSecond(),
                        RELATIVE_AMPLITUDE);
        return new PlacementSimulation(
                        configuration, demand, policyFactory.create(), scenario.conditions, seed)
                .run(RUN_SECONDS);
    }

    private void printRow(String name, List<PlacementSimulation.Result> results) {
        out.printf(
                Locale.ROOT,
                "| %s | %s | %s | %s |%n",
                name,
                formatMeanAndDeviation(results, "%.4f", PlacementSimulation.Result::attainment),
                formatMeanAndDeviation(
                        results,
                        "%.0f",
                        result -> result.served() / 0.9 / TraceUser.acceleratorCount()),
                formatMeanAndDeviation(results, "%.0f", PlacementSimulation.Result::moves));
    }

    private static String formatMeanAndDeviation(
            List<PlacementSimulation.Result> results,
            String format,
            ToDoubleFunction<PlacementSimulation.Result> value) {
        double mean = results.stream().mapToDouble(value).average().orElse(0);
        double variance =
                results.stream()
                        .mapToDouble(result -> Math.pow(value.applyAsDouble(result) - mean, 2))
                        .average()
                        .orElse(0);
        return String.format(Locale.ROOT, format, mean)
                + " ("
                + String.format(Locale.ROOT, format, Math.sqrt(variance))
                + ")";
    }
}
