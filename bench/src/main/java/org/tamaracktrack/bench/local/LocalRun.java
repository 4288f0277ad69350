package org.tamaracktrack.bench.local;

import java.io.PrintStream;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import org.tamaracktrack.bench.caller.Caller;
import org.tamaracktrack.bench.caller.CallerKey;
import org.tamaracktrack.bench.caller.ModelRequest;
import org.tamaracktrack.bench.caller.Observation;
import org.tamaracktrack.bench.caller.Outcome;
import org.tamaracktrack.bench.caller.ServiceRequest;
import org.tamaracktrack.bench.report.ObservedRequest;
import org.tamaracktrack.bench.report.ReportCheck;
import org.tamaracktrack.bench.stack.CommandResult;
import org.tamaracktrack.bench.stack.LocalStack;
import org.tamaracktrack.bench.stack.SampleAccounts;
import org.tamaracktrack.bench.stack.StackPlan;

/**
 * Starts the sample system on one host, and either keeps it running or sends each kind of request
 * once and checks answers, reports and stops.
 */
public final class LocalRun {
    private static final int STREAMED_TOKENS = 12;

    private final Path root;
    private final PrintStream out;
    private final Caller caller = Caller.of();
    private final List<ObservedRequest> observedRequests = new ArrayList<>();

    private LocalRun(Path root, PrintStream out) {
        this.root = root;
        this.out = out;
    }

    /**
     * Returns a run.
     *
     * @param root the directory of the project
     * @param out the stream to print to
     * @return the run
     */
    public static LocalRun of(Path root, PrintStream out) {
        Objects.requireNonNull(root, "root is null");
        Objects.requireNonNull(out, "out is null");
        return new LocalRun(root, out);
    }

    /**
     * Starts the system and keeps it running, or checks it once and stops it.
     *
     * @param once whether to check the system once and stop; otherwise it runs until interrupted
     * @return the exit status: 0 when every answer was complete and belonged to its request, the
     *     reports could be read and agreed with the answers, no order overcommitted memory and
     *     every daemon stopped with status 0; otherwise 1
     */
    public int run(boolean once) {
        out.println("Starting stand-ins, two entry daemons and four target daemons ...");
        try (LocalStack stack = LocalStack.start(StackPlan.sample(root, root.resolve(".local")))) {
            printAddresses(stack);
            if (!once) {
                waitForInterrupt();
                return 0;
            }
            boolean answersWhole = sendAllRequests(stack);
            boolean reportsPrinted = printReports(stack);
            boolean stoppedGracefully = stop(stack);
            boolean memoryWithinLimits = checkMemory(stack);
            boolean reportCorrect = checkReport(stack);
            boolean passed =
                    answersWhole
                            && reportsPrinted
                            && stoppedGracefully
                            && memoryWithinLimits
                            && reportCorrect;
            out.println(passed ? "All well." : "NOT all well.");
            return passed ? 0 : 1;
        }
    }

    private void printAddresses(LocalStack stack) {
        stack.entries()
                .forEach(entry -> out.println("Callers: http://" + entry.httpAddress() + "/v1"));
        out.println("Operators: --log-address " + stack.log().address());
        out.println();
        out.println("  curl http://" + stack.entry(0).httpAddress() + "/v1/chat/completions \\");
        out.println("    -H 'Authorization: Bearer " + SampleAccounts.CEVALLOS.key() + "' \\");
        out.println("    -H 'Content-Type: application/json' \\");
        out.println(
                "    -d '{\"model\":\"order-reader\",\"messages\":"
                        + "[{\"role\":\"user\",\"content\":\"Read order 17\"}]}'");
        out.println();
    }

    private void waitForInterrupt() {
        out.println("Running until interrupted (Ctrl-C).");
        try {
            new CountDownLatch(1).await();
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    private boolean sendAllRequests(LocalStack stack) {
        List<Boolean> results = new ArrayList<>();
        stack.entries()
                .forEach(
                        entry -> {
                            String address = entry.httpAddress();
                            String prompt = "Request through " + entry.program().name();
                            modelRequests(prompt)
                                    .forEach(
                                            request ->
                                                    results.add(
                                                            sendModelRequest(address, request)));
                            serviceRequests(prompt)
                                    .forEach(
                                            request ->
                                                    results.add(
                                                            sendServiceRequest(address, request)));
                        });
        return results.stream().allMatch(Boolean::booleanValue);
    }

    private static List<ModelRequest> modelRequests(String prompt) {
        List<ModelRequest> requests = new ArrayList<>(SampleAccounts.requestsToEveryModel(prompt));
        SampleAccounts.requestsToEveryModel(prompt + ", streamed").stream()
                .map(request -> request.streamed(STREAMED_TOKENS))
                .forEach(requests::add);
        requests.add(
                ModelRequest.of(SampleAccounts.CEVALLOS, "order-reader", prompt + ", adapted")
                        .withAdapter("quito-north"));
        requests.add(
                ModelRequest.of(SampleAccounts.CEVALLOS, "note-writer", prompt + ", once")
                        .nonIdempotent(Optional.of("key of " + prompt)));
        return requests;
    }

    private static List<ServiceRequest> serviceRequests(String prompt) {
        CallerKey caller = SampleAccounts.KTIMATOLOGOS;
        return List.of(
                SampleAccounts.serviceRequest(caller, "GET", "", Optional.empty()),
                SampleAccounts.serviceRequest(caller, "POST", prompt, Optional.empty()),
                SampleAccounts.serviceRequest(
                        caller, "POST", prompt, Optional.of("key of " + prompt)));
    }

    private boolean sendModelRequest(String address, ModelRequest request) {
        Observation observation = caller.send(address, request).join();
        String adapter = request.adapter().map(name -> "+" + name).orElse("");
        print(request.caller(), request.model() + adapter, observation);
        observedRequests.add(ObservedRequest.of(request, observation));
        return observation.outcome() == Outcome.WHOLE;
    }

    private boolean sendServiceRequest(String address, ServiceRequest request) {
        Observation observation = caller.send(address, request).join();
        print(request.caller(), request.method() + " " + request.service(), observation);
        observedRequests.add(
                ObservedRequest.of(request, SampleAccounts.DEFAULT_CLASS, observation));
        return observation.outcome() == Outcome.WHOLE;
    }

    private void print(CallerKey callerKey, String destination, Observation observation) {
        out.printf(
                "%-13s %-26s %-12s %s %s %.1f ms%n",
                callerKey.account(),
                destination,
                observation.outcome(),
                observation.status(),
                observation.code(),
                observation.totalMillis());
    }

    private boolean printReports(LocalStack stack) {
        return List.of("report", "moves").stream()
                        .map(stack::command)
                        .peek(result -> out.println(System.lineSeparator() + result.output()))
                        .mapToInt(CommandResult::status)
                        .sum()
                == 0;
    }

    private boolean stop(LocalStack stack) {
        Map<String, Integer> statuses = stack.stopDaemons();
        out.println("Exit statuses after SIGTERM: " + statuses);
        return statuses.values().stream().allMatch(status -> status == 0);
    }

    private boolean checkReport(LocalStack stack) {
        List<String> differences = ReportCheck.differences(stack, observedRequests);
        out.println("Report against what callers saw: " + differences.size() + " differences");
        differences.forEach(out::println);
        return differences.isEmpty();
    }

    private boolean checkMemory(LocalStack stack) {
        int overcommits =
                stack.engines().values().stream()
                        .mapToInt(
                                engine ->
                                        engine.getControl("/control/state")
                                                .get("overcommits")
                                                .asInt())
                        .sum();
        out.println("Orders that overcommitted memory: " + overcommits);
        return overcommits == 0;
    }
}
