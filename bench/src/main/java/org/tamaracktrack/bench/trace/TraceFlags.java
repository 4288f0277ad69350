package org.tamaracktrack.bench.trace;

import com.beust.jcommander.Parameter;
import java.util.List;
import java.util.stream.Stream;

/** The flags of the command {@code placement-trace}. */
public class TraceFlags {
    @Parameter(names = "--seeds", description = "how many seeds each figure is the mean of")
    private int seeds = 10;

    @Parameter(names = "--move-cost", description = "weights of a move to try")
    private List<Double> moveCosts = List.of(0.1, 1.0, 5.0, 20.0, 100.0, 500.0);

    @Parameter(names = "--payback-seconds", description = "payback times to try")
    private List<Integer> paybackSeconds = List.of(120);

    @Parameter(names = "--patience", description = "how long a change has to pay, to try")
    private List<Double> patience = List.of(1.0);

    @Parameter(names = "--scenarios", description = "how many of the scenarios")
    private int scenarios = 5;

    /** Prints the tables. */
    public final void print() {
        List<PlacementTraceCommand.Trial> trials =
                paybackSeconds.stream()
                        .flatMap(
                                payback ->
                                        patience.stream()
                                                .flatMap(factor -> trials(payback, factor)))
                        .toList();
        PlacementTraceCommand.of(System.out, seeds)
                .run(new PlacementTraceCommand.Trials(scenarios, trials));
    }

    private Stream<PlacementTraceCommand.Trial> trials(int payback, double factor) {
        return moveCosts.stream()
                .map(cost -> new PlacementTraceCommand.Trial(cost, payback, factor));
    }
}
