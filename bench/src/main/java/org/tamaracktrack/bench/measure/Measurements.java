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

/** Runs measurements, each on a newly started sample system. */
public final class Measurements {

    private static final double TOKEN_MILLIS = 0.25;
    private static final Duration START_LIMIT = Duration.ofSeconds(40);

    private Measurements() {}

    /**
     * Runs measurements one after another.
     *
     * @param root the root directory of the project
     * @param out the stream to which results are printed
     * @param names the measurements to run: any of cost, footprint and recovery
     * @return 0, the exit code
     */
    public static int run(Path root, PrintStream out, List<String> names) {
        Objects.requireNonNull(root, "root is null");
        Path directory = root.resolve(".local");
        StackPlan plan =
                StackPlan.sample(root, directory, TOKEN_MILLIS)
                        .withDocument(documentWithoutRateLimit(root, directory));
        Map<String, Consumer<LocalStack>> measurements =
                Map.of(
                        "cost", stack -> PathOverhead.of(stack, out).run(),
                        "footprint", stack -> Footprints.of(stack, out).run(),
                        "recovery", stack -> RecoveryTimes.of(stack, plan.document(), out).run());
        names.forEach(
                name -> {
                    out.println("== " + name);
                    try (LocalStack stack = LocalStack.start(plan)) {
                        SampleAccounts.awaitEveryModel(stack, START_LIMIT);
                        measurements.get(name).accept(stack);
                    }
                });
        return 0;
    }

    // Otherwise the rate limit of the client account would determine the result.
    private static Path documentWithoutRateLimit(Path root, Path directory) {
        Path document = directory.resolve("measured-configuration.yaml");
        try {
            String sample = Files.readString(root.resolve("docs/sample-configuration.yaml"));
            Files.createDirectories(directory);
            Files.writeString(
                    document, sample.replace("ratePerSecond: 200", "ratePerSecond: 100000"));
            return document;
        } catch (IOException failure) {
            throw StackException.of(
                    "cannot write the configuration for measurements to " + document, failure);
        }
    }
}
