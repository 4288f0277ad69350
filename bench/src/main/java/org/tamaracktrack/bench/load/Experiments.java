package org.tamaracktrack.bench.load;

import com.beust.jcommander.Parameter;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Objects;
import java.util.stream.Stream;
import org.tamaracktrack.bench.stack.StackException;

/** The flags of {@code bin/experiment}, and the runs that they select. */
public class Experiments {
    @Parameter(names = "--root", description = "root directory of the project")
    private String root = ".";

    @Parameter(names = "--user", description = "cevallos or ktimatologos; may be repeated")
    private List<String> users = List.of("cevallos", "ktimatologos");

    @Parameter(names = "--scenario", description = "peak, target_lost, log_out, tenfold, lagging")
    private List<String> scenarios = List.of("peak");

    @Parameter(names = "--policy", description = "default, or a baseline's name; may be repeated")
    private List<String> policies = List.of("default");

    @Parameter(
            names = "--load",
            description = "peak load as a multiple of capacity; may be repeated")
    private List<Double> loads = List.of(0.7, 1.0, 1.5);

    @Parameter(names = "--seconds", description = "duration of the load in seconds")
    private int seconds = 20;

    @Parameter(names = "--seed", description = "seed of the arrivals")
    private long seed = 1;

    @Parameter(names = "--output", description = "directory for the result tables")
    private String output = ".local/experiments";

    /** Creates flags with their default values. */
    public Experiments() {}

    /**
     * Runs every combination of user, scenario, policy and load factor, and writes the result
     * tables.
     *
     * @param out the stream to which results are printed
     * @return 0 if every run was completed, otherwise 1
     */
    public int run(PrintStream out) {
        Objects.requireNonNull(out, "out is null");
        Speed speed = Speed.EXPERIMENT;
        out.printf(
                Locale.ROOT,
                "Time runs %.0f times faster than on real hardware; %.1f requests/s per engine.%n",
                speed.factor(),
                speed.engineRequestsPerSecond());
        Experiment experiment =
                Experiment.of(Path.of(root, ".local"), speed, seed, seconds * 1000L, out);
        List<RunResult> results = new ArrayList<>();
        List<String> failures = new ArrayList<>();
        users.stream()
                .map(Experiments::user)
                .forEach(
                        user -> runs(user).forEach(run -> run(experiment, run, results, failures)));
        write(results);
        failures.forEach(out::println);
        return failures.isEmpty() ? 0 : 1;
    }

    private record Run(UserProfile user, Scenario scenario, Policy policy, double load) {}

    private List<Run> runs(UserProfile user) {
        return scenarios.stream()
                .map(name -> Scenario.valueOf(name.toUpperCase(Locale.ROOT)))
                .flatMap(
                        scenario ->
                                policies.stream()
                                        .map(Experiments::policy)
                                        .flatMap(
                                                policy ->
                                                        loads.stream()
                                                                .map(
                                                                        load ->
                                                                                new Run(
                                                                                        user,
                                                                                        scenario,
                                                                                        policy,
                                                                                        load))))
                .toList();
    }

    private static void run(
            Experiment experiment, Run run, List<RunResult> results, List<String> failures) {
        try {
            results.add(experiment.run(run.user(), run.scenario(), run.policy(), run.load()));
        } catch (StackException failure) {
            failures.add("FAILED " + run + ": " + failure.getMessage());
        }
    }

    private static UserProfile user(String name) {
        return Stream.of(UserProfile.CEVALLOS, UserProfile.KTIMATOLOGOS)
                .filter(user -> user.name().equals(name))
                .findFirst()
                .orElseThrow(() -> StackException.of("unknown user: " + name));
    }

    private static Policy policy(String name) {
        return Stream.concat(Stream.of(Policy.DEFAULT), Policy.BASELINES.stream())
                .filter(policy -> policy.name().equals(name))
                .findFirst()
                .orElseThrow(() -> StackException.of("unknown policy: " + name));
    }

    private void write(List<RunResult> results) {
        Path directory = Path.of(root).resolve(output);
        try {
            Files.createDirectories(directory);
            Files.writeString(directory.resolve("results.md"), ResultTable.markdown(results));
            Files.writeString(directory.resolve("results.csv"), ResultTable.csv(results));
        } catch (IOException failure) {
            throw StackException.of("cannot write the result tables to " + directory, failure);
        }
    }
}
