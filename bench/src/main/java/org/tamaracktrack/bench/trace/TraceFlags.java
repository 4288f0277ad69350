package org.tamaracktrack.bench.trace;

import com.beust.jcommander.Parameter;
import java.util.List;
import java.util.stream.Stream;

/** The flags of the command {@code placement-trace}. */
public class TraceFlags {
    @Parameter(
            names = "--seeds",
            description = "number of seeds over which each figure is averaged")
    private int seeds = 10;

    @Parameter(names = "--move-cost", description = "costs of a move to try, in requests")
    private List<Double> moveCosts = List.of(0.1, 1.0, 5.0, 20.0, 100.0, 500.0);

    @Parameter(names = "--payback-seconds", description = "payback times to try, in seconds")
    private List<Integer> paybackSeconds = List.of(120);

    @Parameter(
            names = "--patience",
            description = "persistence factors to try: how long a change must be profitable")
    private List<Double> persistenceFactors = List.of(1.0);

    @Parameter(names = "--scenarios", description = "number of scenarios, in their order")
    private int scenarios = 5;

    /** Runs the simulations and prints their tables to standard output. */
    public final void print() {
        List<PlacementTraceCommand.HysteresisSettings> settings =
                paybackSeconds.stream()
                        .flatMap(
                                payback ->
                                        persistenceFactors.stream()
                                                .flatMap(
                                                        persistenceFactor ->
                                                                settingsForEachMoveCost(
                                                                        payback,
                                                                        persistenceFactor)))
                        .toList();
        PlacementTraceCommand.of(System.out, seeds)
                .run(new PlacementTraceCommand.Selection(scenarios, settings));
    }

    private Stream<PlacementTraceCommand.HysteresisSettings> settingsForEachMoveCost(
            int paybackTime, double persistenceFactor) {
        return moveCosts.stream()
                .map(
                        cost ->
                                new PlacementTraceCommand.HysteresisSettings(
                                        cost, paybackTime, persistenceFactor));
    }
}
