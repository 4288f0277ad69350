package org.tamaracktrack.bench.measure;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.tamaracktrack.bench.caller.Caller;
import org.tamaracktrack.bench.caller.ModelRequest;
import org.tamaracktrack.bench.caller.Observation;
import org.tamaracktrack.bench.caller.Outcome;
import org.tamaracktrack.bench.caller.SteadyLoad;
import org.tamaracktrack.bench.stack.CommandResult;
import org.tamaracktrack.bench.stack.DaemonProcess;
import org.tamaracktrack.bench.stack.LocalStack;
import org.tamaracktrack.bench.stack.RunningProgram;
import org.tamaracktrack.bench.stack.SampleAccounts;
import org.tamaracktrack.bench.stack.SimpleHttpClient;
import org.tamaracktrack.bench.stack.StackException;
import org.tamaracktrack.bench.stack.Waiting;

/** How long the system takes to be whole again. */
public final class Recoveries {
    private static final Duration LIMIT = Duration.ofSeconds(60);
    private static final int CALLERS_EACH = 4;
    private static final double NANOS_PER_MILLI = 1e6;

    private final LocalStack stack;
    private final Path document;
    private final PrintStream out;
    private final Caller caller = Caller.of();
    private Observation lastSeen;
    private int prompts;
    private int publications;

    private Recoveries(LocalStack stack, Path document, PrintStream out) {
        this.stack = stack;
        this.document = document;
        this.out = out;
    }

    /**
     * Returns a measurement.
     *
     * @param stack the running sample system
     * @param document the sample configuration
     * @param out where to print
     * @return the measurement
     */
    public static Recoveries of(LocalStack stack, Path document, PrintStream out) {
        Objects.requireNonNull(stack, "stack is null");
        return new Recoveries(stack, document, out);
    }

    /** Measures and prints. */
    public void run() {
        print("configuration in force at both entries, after publish returned", this::publish);
        print("configuration in force at both entries, after an outage", this::publishInOutage);
        print("newcomer entry ready during a log outage, from its start", this::newcomer);
        print("entry killed: from kill until its replacement is ready", this::killEntry);
        print("target daemon killed and replaced: until its models answer", this::killTarget);
        print("target with its host lost: until every model answers", this::loseTarget);
        leaving();
    }

    private interface Measured {
        double millis();
    }

    private void print(String what, Measured measured) {
        try {
            out.printf("%s: %.0f ms%n", what, measured.millis());
        } catch (StackException failure) {
            out.println(what + ": FAILED, " + failure.getMessage() + ", last " + lastSeen);
        }
        heal();
    }

    private void heal() {
        stack.log().putControl("/control/outage", "{\"on\":false}");
        stack.targets()
                .forEach(
                        (name, daemon) -> {
                            if (!daemon.program().alive()) {
                                stack.restartTarget(name);
                            }
                        });
        stack.awaitReady();
        SampleAccounts.requestsToEveryModel("heal")
                .forEach(request -> awaitAnswer(request.model()));
    }

    private static double since(long start) {
        return (System.nanoTime() - start) / NANOS_PER_MILLI;
    }

    private void awaitAnswer(String model) {
        Waiting.until(model + " answers", LIMIT, () -> answers(model));
    }

    private boolean answers(String model) {
        prompts++;
        String prompt = "recovery " + prompts;
        ModelRequest request =
                SampleAccounts.requestsToEveryModel(prompt).stream()
                        .filter(candidate -> candidate.model().equals(model))
                        .findFirst()
                        .orElseThrow();
        String address = stack.entry(1).httpAddress();
        lastSeen = caller.send(address, request).join();
        return lastSeen.outcome() == Outcome.WHOLE;
    }

    private double publish() {
        String model = publishNewModel();
        long start = System.nanoTime();
        awaitInForce(model);
        return since(start);
    }

    // The tool reads its record back, so the outage can only begin after it has returned; the
    // entry daemons are paused meanwhile, and see the record first after outage and pause.
    private double publishInOutage() {
        stack.entries().forEach(entry -> entry.program().pause());
        String model = publishNewModel();
        stack.log().putControl("/control/outage", "{\"on\":true}");
        stack.entries().forEach(entry -> entry.program().resume());
        Waiting.until("entry is up", LIMIT, () -> stack.entry(0).ready());
        stack.log().putControl("/control/outage", "{\"on\":false}");
        long start = System.nanoTime();
        awaitInForce(model);
        return since(start);
    }

    private String publishNewModel() {
        publications++;
        String model = "extra-" + publications;
        try {
            String text =
                    Files.readString(document)
                            .replace(
                                    "  note-writer: {",
                                    "  "
                                            + model
                                            + ": {version: \"1\", memoryMebibytes: 64}\n"
                                            + "  note-writer: {")
                            .replace("[order-reader, ", "[order-reader, " + model + ", ");
            Path changed = Files.createTempFile("changed", ".yaml");
            Files.writeString(changed, text);
            CommandResult result = stack.command(stack.publishArguments(changed.toString()));
            Files.delete(changed);
            if (result.status() != 0) {
                throw StackException.of("publishing failed: " + result.output());
            }
            return model;
        } catch (IOException failure) {
            throw StackException.of("can't change " + document, failure);
        }
    }

    private void awaitInForce(String model) {
        stack.entries()
                .forEach(
                        entry ->
                                Waiting.until(
                                        model + " is listed",
                                        LIMIT,
                                        () ->
                                                SimpleHttpClient.get(
                                                                entry.httpAddress(),
                                                                "/v1/models",
                                                                SampleAccounts.CEVALLOS.key())
                                                        .filter(list -> list.contains(model))
                                                        .isPresent()));
    }

    private double newcomer() {
        stack.log().putControl("/control/outage", "{\"on\":true}");
        stack.entry(0).program().kill();
        long start = System.nanoTime();
        DaemonProcess entry = stack.restartEntry(0);
        Waiting.until("the newcomer is ready", LIMIT, entry::ready);
        return since(start);
    }

    private double killEntry() {
        long start = System.nanoTime();
        stack.entry(0).program().kill();
        DaemonProcess entry = stack.restartEntry(0);
        Waiting.until("the replacement is ready", LIMIT, entry::ready);
        return since(start);
    }

    private double killTarget() {
        List<String> models = modelsAt("engine-1");
        long start = System.nanoTime();
        stack.target("engine-1").program().kill();
        stack.restartTarget("engine-1");
        models.forEach(this::awaitAnswer);
        return since(start);
    }

    private double loseTarget() {
        List<String> models = modelsAt("engine-1");
        long start = System.nanoTime();
        stack.target("engine-1").program().kill();
        stack.standIn("engine-1").program().pause();
        try {
            models.forEach(this::awaitAnswer);
            return since(start);
        } finally {
            stack.standIn("engine-1").program().resume();
        }
    }

    private List<String> modelsAt(String target) {
        return stack.standIn(target).getControl("/control/state").findValuesAsText("model").stream()
                .filter(
                        model ->
                                SampleAccounts.requestsToEveryModel("").stream()
                                        .anyMatch(known -> known.model().equals(model)))
                .collect(Collectors.toList());
    }

    private void leaving() {
        SteadyLoad load =
                SteadyLoad.start(
                        stack.entries().stream().map(DaemonProcess::httpAddress).toList(),
                        CALLERS_EACH,
                        number -> {
                            List<ModelRequest> all =
                                    SampleAccounts.requestsToEveryModel("leaving " + number);
                            return all.get(number % all.size());
                        });
        load.await(50, exchange -> exchange.observation().outcome() == Outcome.WHOLE);
        RunningProgram daemon = stack.target("engine-2").program();
        long start = System.nanoTime();
        daemon.terminate();
        double last = 0;
        int runs = runsAt("engine-2");
        while (daemon.alive()) {
            int now = runsAt("engine-2");
            last = now > runs ? since(start) : last;
            runs = now;
        }
        out.printf("target leaving: last new work %.0f ms after SIGTERM%n", last);
        out.printf("target leaving: daemon ended %.0f ms after SIGTERM%n", since(start));
        Map<String, Long> notWhole =
                load.stop().stream()
                        .map(SteadyLoad.Exchange::observation)
                        .filter(seen -> seen.outcome() != Outcome.WHOLE)
                        .collect(
                                Collectors.groupingBy(
                                        seen -> seen.outcome() + ":" + seen.code(),
                                        TreeMap::new,
                                        Collectors.counting()));
        out.println("target leaving: requests without a whole answer: " + notWhole);
    }

    private int runsAt(String target) {
        return stack.standIn(target).getControl("/control/runs").get("runs").size();
    }
}
