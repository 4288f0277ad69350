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

/** One run of a user's load against the whole system. */
public final class Experiment {
    private static final Duration START_LIMIT = Duration.ofSeconds(60);
    private static final int ENTRIES = 3;
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
     * @param directory where output goes
     * @param speed how fast it runs
     * @param seed the seed of the arrivals
     * @param durationMillis how long requests are sent
     * @param out where to print
     * @return the experiment
     */
    public static Experiment of(
            Path directory, Speed speed, long seed, long durationMillis, PrintStream out) {
        Objects.requireNonNull(directory, "directory is null");
        return new Experiment(directory, speed, seed, durationMillis, out);
    }

    /**
     * Runs it on a fresh system.
     *
     * @param user whose load
     * @param scenario what goes wrong
     * @param policy what the daemons decide by
     * @param loadFactor demand at the peak against what the engines could run at best
     * @return what it gave
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
        try (LocalStack stack = LocalStack.start(plan(user, policy))) {
            List<OpenLoad.Answered> warmUp = awaitFirstAnswers(stack, user);
            List<String> addresses =
                    stack.entries().stream().map(DaemonProcess::httpAddress).toList();
            List<OpenLoad.Answered> answered =
                    new OpenLoad()
                            .run(
                                    addresses,
                                    arrivals,
                                    scenario.events(stack, durationMillis, speed));
            writeRequests(user, scenario, policy, loadFactor, answered);
            int overcommits = overcommits(stack);
            stack.stopDaemons();
            List<OpenLoad.Answered> all = new ArrayList<>(warmUp);
            all.addAll(answered);
            RunResult result =
                    new RunResult(
                            user,
                            scenario,
                            policy,
                            loadFactor,
                            answered,
                            ReportCheck.moves(stack),
                            overcommits,
                            reportDifference(stack, all),
                            speed);
            out.print(ResultTable.markdown(List.of(result)));
            return result;
        }
    }

    /** Asks for each model until it answers, so that the load starts with all of them resident. */
    private List<OpenLoad.Answered> awaitFirstAnswers(LocalStack stack, UserProfile user) {
        Caller caller = Caller.of();
        String address = stack.entry(0).httpAddress();
        List<OpenLoad.Answered> asked = new ArrayList<>();
        user.modelNames()
                .forEach(
                        model ->
                                Waiting.until(
                                        model + " answers",
                                        START_LIMIT,
                                        () -> ask(caller, address, user, model, asked)));
        return asked;
    }

    private static boolean ask(
            Caller caller,
            String address,
            UserProfile user,
            String model,
            List<OpenLoad.Answered> asked) {
        ModelRequest request =
                ModelRequest.of(
                                ExperimentDocument.key(user.accountNames().get(0)),
                                model,
                                "warm-up " + asked.size())
                        .withRequestClass("batch");
        OpenLoad.Answered answer =
                new OpenLoad.Answered(
                        new Arrival(0, request), caller.send(address, request).join(), 0);
        asked.add(answer);
        return answer.seen().outcome() == Outcome.WHOLE;
    }

    private StackPlan plan(UserProfile user, Policy policy) {
        Path document = directory.resolve("experiment-" + user.name() + ".json");
        try {
            Files.createDirectories(directory);
            Files.write(document, ExperimentDocument.json(user, speed));
        } catch (IOException failure) {
            throw StackException.of("can't write " + document, failure);
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
                IntStream.range(0, ENTRIES).mapToObj(ExperimentDocument::dataCentre).toList(),
                List.of(),
                weightFlags(user),
                entryFlags,
                targetFlags);
    }

    private List<String> weightFlags(UserProfile user) {
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
                Integer.toString(speed.batch()),
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
            List<OpenLoad.Answered> answered) {
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
            Files.writeString(file, RequestTable.csv(answered));
        } catch (IOException failure) {
            throw StackException.of("can't write " + file, failure);
        }
    }

    private static String reportDifference(LocalStack stack, List<OpenLoad.Answered> all) {
        List<ObservedRequest> seen =
                all.stream()
                        .map(each -> ObservedRequest.of(each.arrival().request(), each.seen()))
                        .toList();
        List<String> differences = ReportCheck.differences(stack, seen);
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
