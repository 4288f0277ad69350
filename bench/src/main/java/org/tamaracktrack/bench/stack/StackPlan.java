package org.tamaracktrack.bench.stack;

import java.nio.file.Path;
import java.util.List;
import java.util.Objects;
import java.util.stream.Stream;

/**
 * Description of a local stack: its processes and the configuration to publish.
 *
 * @param directory the directory for the output files of the processes
 * @param document path of the configuration to publish
 * @param targets the targets
 * @param entryDataCentres the data centre of each entry daemon
 * @param logFlags flags for the stand-in of the log
 * @param weightFlags flags for the stand-in of the weight store
 * @param entryFlags additional flags for entry daemons
 * @param targetFlags additional flags for target daemons
 */
public record StackPlan(
        Path directory,
        Path document,
        List<TargetPlan> targets,
        List<String> entryDataCentres,
        List<String> logFlags,
        List<String> weightFlags,
        List<String> entryFlags,
        List<String> targetFlags) {

    private static final double SAMPLE_TOKEN_MILLIS = 4;

    /** Checks the arguments. */
    public StackPlan {
        Objects.requireNonNull(directory, "directory is null");
        Objects.requireNonNull(document, "document is null");
        targets = List.copyOf(targets);
        entryDataCentres = List.copyOf(entryDataCentres);
        logFlags = List.copyOf(logFlags);
        weightFlags = List.copyOf(weightFlags);
        entryFlags = List.copyOf(entryFlags);
        targetFlags = List.copyOf(targetFlags);
    }

    /**
     * Returns the plan for the sample configuration: three engines and one plain service.
     *
     * @param root the directory of the project
     * @param directory the directory for the output files of the processes
     * @return the plan
     */
    public static StackPlan sample(Path root, Path directory) {
        return sample(root, directory, SAMPLE_TOKEN_MILLIS);
    }

    /**
     * Returns the plan for the sample configuration with engines of the given speed.
     *
     * @param root the directory of the project
     * @param directory the directory for the output files of the processes
     * @param tokenMillis milliseconds for each token at batch size 1
     * @return the plan
     */
    public static StackPlan sample(Path root, Path directory, double tokenMillis) {
        List<String> engineFlags =
                List.of(
                        "--accelerator", "a0=24576",
                        "--cache-mebibytes", "4096",
                        "--concurrency", "8",
                        "--token-millis", Double.toString(tokenMillis));
        List<String> fencingEngineFlags =
                Stream.concat(engineFlags.stream(), Stream.of("--checks-fencing")).toList();
        return new StackPlan(
                directory,
                root.resolve("docs/sample-configuration.yaml"),
                List.of(
                        new TargetPlan(
                                "engine-1",
                                "host-1",
                                "quito-1",
                                "engine-1",
                                "engine",
                                "engineOne",
                                fencingEngineFlags),
                        new TargetPlan(
                                "engine-2",
                                "host-2",
                                "quito-1",
                                "engine-2",
                                "engine",
                                "engineTwo",
                                fencingEngineFlags),
                        new TargetPlan(
                                "engine-3",
                                "host-3",
                                "quito-2",
                                "engine-3",
                                "engine",
                                "engineThree",
                                engineFlags),
                        new TargetPlan(
                                "service-1",
                                "host-4",
                                "quito-2",
                                "service-1",
                                "service",
                                "serviceOne",
                                List.of("--name", "order-book"))),
                List.of("quito-1", "quito-2"),
                List.of(),
                List.of("--mebibytes-per-second", "20000"),
                List.of("--balancer-lag-millis", "300", "--report-millis", "500"),
                List.of("--report-millis", "500"));
    }

    /**
     * Returns a copy of this plan that publishes another configuration.
     *
     * @param other path of the configuration to publish
     * @return the plan
     */
    public StackPlan withDocument(Path other) {
        return new StackPlan(
                directory,
                other,
                targets,
                entryDataCentres,
                logFlags,
                weightFlags,
                entryFlags,
                targetFlags);
    }
}
