package org.tamaracktrack.core.routing;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.tamaracktrack.core.config.Configuration;
import org.tamaracktrack.core.id.DataCentreId;
import org.tamaracktrack.core.id.HostId;
import org.tamaracktrack.core.id.ModelId;
import org.tamaracktrack.core.id.RequestClassId;
import org.tamaracktrack.core.id.TargetId;
import org.tamaracktrack.core.message.Message;

/**
 * Measures the time of one routing decision, from the candidates to the choice, for three fleet
 * sizes.
 */
final class RoutingBenchmark {
    private static final RequestClassId CLASS = RequestClassId.of("interactive");
    private static final int MODELS_PER_TARGET = 4;
    private static final int ROUNDS = 5;
    private static final int DECISIONS = 200_000;

    private RoutingBenchmark() {}

    /**
     * Prints the nanoseconds per decision, for resident models and for models that no target holds.
     */
    public static void main(String[] arguments) {
        List.of(10, 100, 600).forEach(RoutingBenchmark::measure);
    }

    private static void measure(int targets) {
        RoutingTable table = table(targets);
        for (int round = 0; round < ROUNDS; round++) {
            double residentNanos = nanos(table, targets, "m");
            double absentNanos = nanos(table, targets, "absent-");
            System.out.printf(
                    "targets=%d round=%d homes_nanos=%.0f nowhere_resident_nanos=%.0f%n",
                    targets, round, residentNanos, absentNanos);
        }
    }

    private static double nanos(RoutingTable table, int targets, String prefix) {
        int decisions = prefix.equals("m") ? DECISIONS : DECISIONS / 50;
        long chosen = 0;
        long start = System.nanoTime();
        for (int decision = 0; decision < decisions; decision++) {
            RoutingQuery query =
                    RoutingQuery.model(
                            CLASS,
                            ModelId.of(prefix + decision % targets),
                            Optional.empty(),
                            OptionalLong.of(decision));
            List<Candidate> candidates = table.candidates(query, target -> true, Set.of(), 100);
            chosen +=
                    EstimatedWaitPolicy.of().choose(query, candidates, decision).isPresent()
                            ? 1
                            : 0;
        }
        double nanos = (double) (System.nanoTime() - start) / decisions;
        if (chosen != decisions) {
            throw new AssertionError("at least one decision selected no target");
        }
        return nanos;
    }

    private static RoutingTable table(int count) {
        RoutingTable table = RoutingTable.empty(DataCentreId.of("quito-0"));
        Map<TargetId, Configuration.Target> targets =
                IntStream.range(0, count)
                        .mapToObj(RoutingBenchmark::target)
                        .collect(Collectors.toMap(Configuration.Target::id, Function.identity()));
        table.applyConfiguration(
                new Configuration(
                        1,
                        new Configuration.WeightStoreLimits(1, 1),
                        1,
                        Map.of(),
                        Map.of(),
                        Map.of(),
                        Map.of(),
                        targets,
                        Map.of()));
        IntStream.range(0, count)
                .forEach(number -> table.recordLoad(load(number, count), number % 50));
        return table;
    }

    private static Configuration.Target target(int number) {
        return new Configuration.Target(
                TargetId.of("t" + number),
                Configuration.TargetKind.ENGINE,
                HostId.of("h" + number),
                DataCentreId.of("quito-" + number % 3),
                "127.0.0.1:1",
                8,
                List.of(),
                true,
                Optional.empty());
    }

    private static Message.Load load(int number, int count) {
        return new Message.Load(
                TargetId.of("t" + number),
                1,
                false,
                number % 8,
                number % 5,
                Map.of(CLASS, number * 13L % 200),
                IntStream.range(0, MODELS_PER_TARGET)
                        .mapToObj(offset -> ModelId.of("m" + (number + offset * 7) % count))
                        .distinct()
                        .collect(Collectors.toList()),
                List.of(),
                List.of());
    }
}
