package org.tamaracktrack.bench.load;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Objects;
import java.util.stream.IntStream;
import org.tamaracktrack.bench.caller.Caller;
import org.tamaracktrack.bench.caller.ModelRequest;
import org.tamaracktrack.bench.caller.Outcome;
import org.tamaracktrack.bench.report.ObservedRequest;
import org.tamaracktrack.bench.report.ReportCheck;
import org.tamaracktrack.bench.stack.DaemonProcess;
import org.tamaracktrack.bench.stack.LocalStack;
import org.tamaracktrack.bench.stack.StackException;
import org.tamaracktrack.bench.stack.StackPlan;
import org.tamaracktrack.bench.stack.TargetPlan;
import org.tamaracktrack.bench.stack.Waiting;

/** Runs the load of one user against a complete local system. */
public final class Experiment {
    private static final Duration START_LIMIT = Duration.ofSeconds(60);
    private static final int ENTRY_COUNT = 3;
    private static final double TRANSFER_MEBIBYTES_PER_SECOND = 1_000;

    private final Path directory;
    private final Speed speed;
    private final long seed;
    private final long durationMillis;
    private final PrintStream out;

    private Experiment(
            Path directory, Speed speed, long seed, long durationMillis, PrintStream out) {
        this.directory = directory;
        this.speed = speed;
        this.seed = seed;
        this.durationMillis = durationMillis;
        this.out = out;
    }

    /**
     * Returns an experiment.
     *
     * @param directory the directory for configurations, request tables and the output of processes
     * @param speed the speed of the experiment and the costs of a request
     * @param seed the seed of the arrivals
     * @param durationMillis the duration of the load in milliseconds
     * @param out the stream to which results are printed
     * @return the experiment
     */
    public static Experiment of(
            Path directory, Speed speed, long seed, long durationMillis, PrintStream out) {
        Objects.requireNonNull(directory, "directory is null");
        return new Experiment(directory, speed, seed, durationMillis, out);
    }

    /**
     * Starts a new system, runs the load against it, prints the result and stops the system.
     *
     * @param user the user whose load is run
     * @param scenario the fault or change of demand during the load
     * @param policy the policies of the daemons
     * @param loadFactor the peak demand as a multiple of the request rate that all engines can
     *     serve together
     * @return the result of the run
     * @throws StackException if the system does not start, a model does not answer in time, or a
     *     file cannot be written
     */
    public RunResult run(UserProfile user, Scenario scenario, Policy policy, double loadFactor) {
        List<Arrival> arrivals =
                ArrivalPlan.of(
                        user,
                        speed,
                        seed,
                        durationMillis,
                        loadFactor,
                        scenario == Scenario.TENFOLD);
        try (LocalStack stack = LocalStack.start(stackPlan(user, policy))) {
            List<OpenLoopLoad.SentRequest> warmUpRequests = awaitEveryModel(stack, user);
            List<String> addresses =
                    stack.entries().stream().map(DaemonProcess::httpAddress).toList();
            List<OpenLoopLoad.SentRequest> sentRequests =
                    new OpenLoopLoad()
                            .run(
                                    addresses,
                                    arrivals,
                                    scenario.events(stack, durationMillis, speed));
            writeRequests(user, scenario, policy, loadFactor, sentRequests);
            int overcommits = overcommits(stack);
            stack.stopDaemons();
            List<OpenLoopLoad.SentRequest> allRequests = new ArrayList<>(warmUpRequests);
            allRequests.addAll(sentRequests);
            RunResult result =
                    new RunResult(
                            user,
                            scenario,
                            policy,
                            loadFactor,
                            sentRequests,
                            ReportCheck.moves(stack),
                            overcommits,
                            reportDifference(stack, allRequests),
                            speed);
            out.print(ResultTable.markdown(List.of(result)));
            return result;
        }
    }

    /**
     * Sends requests to each model until it answers, so that every model has been resident before
     * the load starts.
     */
    private List<OpenLoopLoad.SentRequest> awaitEveryModel(LocalStack stack, UserProfile user) {
        Caller caller = Caller.of();
        String address = stack.entry(0).httpAddress();
        List<OpenLoopLoad.SentRequest> warmUpRequests = new ArrayList<>();
        user.modelNames()
                .forEach(
                        model ->
                                Waiting.until(
                                        model + " answers",
                                        START_LIMIT,
                                        () ->
                                                sendWarmUpRequest(
                                                        caller,
                                                        address,
                                                        user,
                                                        model,
                                                        warmUpRequests)));
        return warmUpRequests;
    }

    private static boolean sendWarmUpRequest(
            Caller caller,
            String address,
            UserProfile user,
            String model,
            List<OpenLoopLoad.SentRequest> warmUpRequests) {
        ModelRequest request =
                ModelRequest.of(
                                ExperimentDocument.accountKey(user.accountNames().get(0)),
                                model,
                                "warm-up " + warmUpRequests.size())
                        .withRequestClass("batch");
        OpenLoopLoad.SentRequest warmUpRequest =
                new OpenLoopLoad.SentRequest(
                        new Arrival(0, request), caller.send(address, request).join(), 0);
        warmUpRequests.add(warmUpRequest);
        return warmUpRequest.observation().outcome() == Outcome.WHOLE;
    }

    private StackPlan stackPlan(UserProfile user, Policy policy) {
        Path document = directory.resolve("experiment-" + user.name() + ".json");
        try {
            Files.createDirectories(directory);
            Files.write(document, ExperimentDocument.json(user, speed));
        } catch (IOException failure) {
            throw StackException.of(
                    "cannot write the configuration of the experiment to " + document, failure);
        }
        List<String> entryFlags =
                new ArrayList<>(List.of("--balancer-lag-millis", "200", "--report-millis", "1000"));
        entryFlags.addAll(policy.entryFlags());
        List<String> targetFlags = new ArrayList<>(List.of("--report-millis", "1000"));
        targetFlags.addAll(policy.targetFlags());
        return new StackPlan(
                directory,
                document,
                targets(user),
                IntStream.range(0, ENTRY_COUNT).mapToObj(ExperimentDocument::dataCentre).toList(),
                List.of(),
                weightStoreFlags(user),
                entryFlags,
                targetFlags);
    }

    private List<String> weightStoreFlags(UserProfile user) {
        return List.of(
                "--loads-per-second", Double.toString(user.loadsPerSecond() * speed.factor()),
                "--concurrent-loads", Integer.toString(user.concurrentLoads()),
                "--mebibytes-per-second",
                        Double.toString(TRANSFER_MEBIBYTES_PER_SECOND * speed.factor()));
    }

    private List<TargetPlan> targets(UserProfile user) {
        return IntStream.range(0, user.engines() + user.services())
                .mapToObj(index -> target(user, index))
                .toList();
    }

    private TargetPlan target(UserProfile user, int index) {
        boolean engine = index < user.engines();
        String kind = engine ? "engine" : "service";
        return new TargetPlan(
                kind + "-" + index,
                "host-" + index,
                ExperimentDocument.dataCentre(index),
                kind + "s",
                kind,
                "endpoint" + index,
                engine ? engineFlags() : List.of("--name", "portal"));
    }

    private List<String> engineFlags() {
        return List.of(
                "--accelerator",
                "a0=" + ExperimentDocument.ACCELERATOR_MEBIBYTES,
                "--cache-mebibytes",
                Long.toString(ExperimentDocument.CACHE_MEBIBYTES),
                "--concurrency",
                Integer.toString(speed.batchSize()),
                "--token-millis",
                Double.toString(speed.tokenMillis()),
                "--batch-penalty",
                Double.toString(speed.batchPenalty()),
                "--prompt-token-micros",
                Double.toString(speed.promptTokenMicros()),
                "--time-factor",
                Double.toString(speed.factor()),
                "--checks-fencing");
    }

    private void writeRequests(
            UserProfile user,
            Scenario scenario,
            Policy policy,
            double loadFactor,
            List<OpenLoopLoad.SentRequest> sentRequests) {
        String name =
                String.join(
                        "-",
                        "requests",
                        user.name(),
                        scenario.name().toLowerCase(Locale.ROOT),
                        policy.name(),
                        Double.toString(loadFactor));
        Path file = directory.resolve(name + ".csv");
        try {
            Files.writeString(file, RequestTable.csv(sentRequests));
        } catch (IOException failure) {
            throw StackException.of("cannot write the table of requests to " + file, failure);
        }
    }

    private static String reportDifference(
            LocalStack stack, List<OpenLoopLoad.SentRequest> allRequests) {
        List<ObservedRequest> observations =
                allRequests.stream()
                        .map(
                                request ->
                                        ObservedRequest.of(
                                                request.arrival().request(), request.observation()))
                        .toList();
        List<String> differences = ReportCheck.differences(stack, observations);
        return differences.isEmpty()
                ? "same"
                : differences.size() + " rows differ, first " + differences.get(0);
    }

    private static int overcommits(LocalStack stack) {
        return stack.engines().values().stream()
                .mapToInt(engine -> engine.getControl("/control/state").get("overcommits").asInt())
                .sum();
    }
}
