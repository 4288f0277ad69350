package org.tamaracktrack.bench.measure;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.function.Consumer;
import org.tamaracktrack.bench.stack.LocalStack;
import org.tamaracktrack.bench.stack.SampleAccounts;
import org.tamaracktrack.bench.stack.StackException;
import org.tamaracktrack.bench.stack.StackPlan;

/** Runs measurements, each on a fresh sample system. */
public final class Measurements {

    private static final double TOKEN_MILLIS = 0.25;
    private static final Duration START_LIMIT = Duration.ofSeconds(40);

    private Measurements() {}

    /**
     * Runs measurements.
     *
     * @param root the directory of the project
     * @param out where to print
     * @param wanted which of cost, footprint and recovery
     * @return 0
     */
    public static int run(Path root, PrintStream out, List<String> wanted) {
        Objects.requireNonNull(root, "root is null");
        Path directory = root.resolve(".local");
        StackPlan plan =
                StackPlan.sample(root, directory, TOKEN_MILLIS)
                        .withDocument(unlimited(root, directory));
        Map<String, Consumer<LocalStack>> all =
                Map.of(
                        "cost", stack -> PathCost.of(stack, out).run(),
                        "footprint", stack -> Footprints.of(stack, out).run(),
                        "recovery", stack -> Recoveries.of(stack, plan.document(), out).run());
        wanted.forEach(
                what -> {
                    out.println("== " + what);
                    try (LocalStack stack = LocalStack.start(plan)) {
                        SampleAccounts.awaitEveryModel(stack, START_LIMIT);
                        all.get(what).accept(stack);
                    }
                });
        return 0;
    }

    // The account's rate would be measured otherwise, in place of the path.
    private static Path unlimited(Path root, Path directory) {
        Path changed = directory.resolve("measured-configuration.yaml");
        try {
            String sample = Files.readString(root.resolve("docs/sample-configuration.yaml"));
            Files.createDirectories(directory);
            Files.writeString(
                    changed, sample.replace("ratePerSecond: 200", "ratePerSecond: 100000"));
            return changed;
        } catch (IOException failure) {
            throw StackException.of("can't write " + changed, failure);
        }
    }
}
