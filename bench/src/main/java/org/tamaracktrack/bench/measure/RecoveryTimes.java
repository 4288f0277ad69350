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

/** Measures how long the system takes to recover from faults and to apply changes. */
public final class RecoveryTimes {
    private static final Duration TIMEOUT = Duration.ofSeconds(60);
    private static final int CALLERS_PER_ENTRY = 4;
    private static final double NANOS_PER_MILLI = 1e6;

    private final LocalStack stack;
    private final Path document;
    private final PrintStream out;
    private final Caller caller = Caller.of();
    private Observation lastObservation;
    private int promptCount;
    private int publicationCount;

    private RecoveryTimes(LocalStack stack, Path document, PrintStream out) {
        this.stack = stack;
        this.document = document;
        this.out = out;
    }

    /**
     * Returns a measurement.
     *
     * @param stack the running sample system
     * @param document the file with the configuration of the system
     * @param out the stream to which results are printed
     * @return the measurement
     */
    public static RecoveryTimes of(LocalStack stack, Path document, PrintStream out) {
        Objects.requireNonNull(stack, "stack is null");
        return new RecoveryTimes(stack, document, out);
    }

    /**
     * Measures and prints each recovery time; a measurement that fails does not stop the others.
     */
    public void run() {
        print("configuration in force at both entries, after publish returned", this::publish);
        print("configuration in force at both entries, after an outage", this::publishInOutage);
        print("newcomer entry ready during a log outage, from its start", this::startEntryInOutage);
        print("entry killed: from kill until its replacement is ready", this::replaceKilledEntry);
        print(
                "target daemon killed and replaced: until its models answer",
                this::replaceKilledTarget);
        print("target with its host lost: until every model answers", this::loseTargetHost);
        measureLeavingTarget();
    }

    private interface Measurement {
        double millis();
    }

    private void print(String name, Measurement measurement) {
        try {
            out.printf("%s: %.0f ms%n", name, measurement.millis());
        } catch (StackException failure) {
            out.println(name + ": FAILED, " + failure.getMessage() + ", last " + lastObservation);
        }
        restoreSystem();
    }

    private void restoreSystem() {
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

    private static double millisSince(long startNanos) {
        return (System.nanoTime() - startNanos) / NANOS_PER_MILLI;
    }

    private void awaitAnswer(String model) {
        Waiting.until(model + " answers", TIMEOUT, () -> isAnswering(model));
    }

    private boolean isAnswering(String model) {
        promptCount++;
        String prompt = "recovery " + promptCount;
        ModelRequest request =
                SampleAccounts.requestsToEveryModel(prompt).stream()
                        .filter(candidate -> candidate.model().equals(model))
                        .findFirst()
                        .orElseThrow();
        String address = stack.entry(1).httpAddress();
        lastObservation = caller.send(address, request).join();
        return lastObservation.outcome() == Outcome.WHOLE;
    }

    private double publish() {
        String model = publishNewModel();
        long startNanos = System.nanoTime();
        awaitInForce(model);
        return millisSince(startNanos);
    }

    // The publishing command reads its record back, so the outage can only begin after the command
    // has returned. The entry daemons are paused from before publishing until the outage has begun,
    // so that they read the record only after the outage.
    private double publishInOutage() {
        stack.entries().forEach(entry -> entry.program().pause());
        String model = publishNewModel();
        stack.log().putControl("/control/outage", "{\"on\":true}");
        stack.entries().forEach(entry -> entry.program().resume());
        Waiting.until(
                "entry daemon is ready during the log outage",
                TIMEOUT,
                () -> stack.entry(0).ready());
        stack.log().putControl("/control/outage", "{\"on\":false}");
        long startNanos = System.nanoTime();
        awaitInForce(model);
        return millisSince(startNanos);
    }

    private String publishNewModel() {
        publicationCount++;
        String model = "extra-" + publicationCount;
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
            Path changedDocument = Files.createTempFile("changed", ".yaml");
            Files.writeString(changedDocument, text);
            CommandResult result =
                    stack.command(stack.publishArguments(changedDocument.toString()));
            Files.delete(changedDocument);
            if (result.status() != 0) {
                throw StackException.of("publishing the configuration failed: " + result.output());
            }
            return model;
        } catch (IOException failure) {
            throw StackException.of("cannot write a changed copy of " + document, failure);
        }
    }

    private void awaitInForce(String model) {
        stack.entries()
                .forEach(
                        entry ->
                                Waiting.until(
                                        model + " is listed",
                                        TIMEOUT,
                                        () ->
                                                SimpleHttpClient.get(
                                                                entry.httpAddress(),
                                                                "/v1/models",
                                                                SampleAccounts.CEVALLOS.key())
                                                        .filter(list -> list.contains(model))
                                                        .isPresent()));
    }

    private double startEntryInOutage() {
        stack.log().putControl("/control/outage", "{\"on\":true}");
        stack.entry(0).program().kill();
        long startNanos = System.nanoTime();
        DaemonProcess entry = stack.restartEntry(0);
        Waiting.until("entry daemon started during the log outage is ready", TIMEOUT, entry::ready);
        return millisSince(startNanos);
    }

    private double replaceKilledEntry() {
        long startNanos = System.nanoTime();
        stack.entry(0).program().kill();
        DaemonProcess entry = stack.restartEntry(0);
        Waiting.until("replacement of the killed entry daemon is ready", TIMEOUT, entry::ready);
        return millisSince(startNanos);
    }

    private double replaceKilledTarget() {
        List<String> models = modelsOn("engine-1");
        long startNanos = System.nanoTime();
        stack.target("engine-1").program().kill();
        stack.restartTarget("engine-1");
        models.forEach(this::awaitAnswer);
        return millisSince(startNanos);
    }

    private double loseTargetHost() {
        List<String> models = modelsOn("engine-1");
        long startNanos = System.nanoTime();
        stack.target("engine-1").program().kill();
        stack.standIn("engine-1").program().pause();
        try {
            models.forEach(this::awaitAnswer);
            return millisSince(startNanos);
        } finally {
            stack.standIn("engine-1").program().resume();
        }
    }

    private List<String> modelsOn(String target) {
        return stack.standIn(target).getControl("/control/state").findValuesAsText("model").stream()
                .filter(
                        model ->
                                SampleAccounts.requestsToEveryModel("").stream()
                                        .anyMatch(known -> known.model().equals(model)))
                .collect(Collectors.toList());
    }

    private void measureLeavingTarget() {
        SteadyLoad load =
                SteadyLoad.start(
                        stack.entries().stream().map(DaemonProcess::httpAddress).toList(),
                        CALLERS_PER_ENTRY,
                        number -> {
                            List<ModelRequest> requests =
                                    SampleAccounts.requestsToEveryModel("leaving " + number);
                            return requests.get(number % requests.size());
                        });
        load.await(50, exchange -> exchange.observation().outcome() == Outcome.WHOLE);
        RunningProgram daemon = stack.target("engine-2").program();
        long startNanos = System.nanoTime();
        daemon.terminate();
        double lastRunMillis = 0;
        int runs = countRunsOn("engine-2");
        while (daemon.alive()) {
            int currentRuns = countRunsOn("engine-2");
            lastRunMillis = currentRuns > runs ? millisSince(startNanos) : lastRunMillis;
            runs = currentRuns;
        }
        out.printf("target leaving: last new work %.0f ms after SIGTERM%n", lastRunMillis);
        out.printf("target leaving: daemon ended %.0f ms after SIGTERM%n", millisSince(startNanos));
        Map<String, Long> requestsWithoutWholeAnswer =
                load.stop().stream()
                        .map(SteadyLoad.Exchange::observation)
                        .filter(observation -> observation.outcome() != Outcome.WHOLE)
                        .collect(
                                Collectors.groupingBy(
                                        observation ->
                                                observation.outcome() + ":" + observation.code(),
                                        TreeMap::new,
                                        Collectors.counting()));
        out.println(
                "target leaving: requests without a whole answer: " + requestsWithoutWholeAnswer);
    }

    private int countRunsOn(String target) {
        return stack.standIn(target).getControl("/control/runs").get("runs").size();
    }
}
