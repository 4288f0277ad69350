package org.tamaracktrack.bench.measure;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.IntFunction;
import java.util.stream.IntStream;
import org.tamaracktrack.bench.caller.Caller;
import org.tamaracktrack.bench.caller.ModelRequest;
import org.tamaracktrack.bench.caller.Observation;
import org.tamaracktrack.bench.caller.Outcome;
import org.tamaracktrack.bench.caller.ServiceRequest;
import org.tamaracktrack.bench.stack.LocalStack;
import org.tamaracktrack.bench.stack.SampleAccounts;
import org.tamaracktrack.bench.stack.StackException;

/** What the system adds to a call, against the same stand-in called directly in the same run. */
public final class PathCost {
    private static final String MODEL = "order-reader";
    private static final int WARM_UP = 500;
    private static final int SAMPLES = 2000;
    private static final int KEYED_SAMPLES = 300;

    private final LocalStack stack;
    private final PrintStream out;
    private final Caller caller = Caller.of();
    private int prompts;

    private PathCost(LocalStack stack, PrintStream out) {
        this.stack = stack;
        this.out = out;
    }

    /**
     * Returns a measurement.
     *
     * @param stack the running sample system
     * @param out where to print
     * @return the measurement
     */
    public static PathCost of(LocalStack stack, PrintStream out) {
        Objects.requireNonNull(stack, "stack is null");
        return new PathCost(stack, out);
    }

    /** Measures and prints. */
    public void run() {
        String engine = engineWith(MODEL);
        String entry = stack.entry(0).httpAddress();
        compare("model call, one at a time", 1, n -> model(engine), n -> model(entry));
        compare("model call, 8 at a time", 8, n -> model(engine), n -> model(entry));
        String service = stack.services().values().iterator().next().address();
        compare("service call, one at a time", 1, n -> direct(service), n -> call(entry));
        Quantiles keyed = measure(KEYED_SAMPLES, 1, n -> keyed(entry));
        out.println("service call with a claimed key: " + keyed.describe());
    }

    private String engineWith(String model) {
        return stack.engines().values().stream()
                .filter(
                        engine ->
                                engine
                                        .getControl("/control/state")
                                        .findValuesAsText("model")
                                        .stream()
                                        .anyMatch(model::equals))
                .findFirst()
                .orElseThrow(() -> StackException.of("no engine has " + model))
                .address();
    }

    private void compare(
            String what,
            int atOnce,
            IntFunction<CompletableFuture<Observation>> direct,
            IntFunction<CompletableFuture<Observation>> through) {
        measure(WARM_UP, atOnce, direct);
        measure(WARM_UP, atOnce, through);
        Quantiles directly = Quantiles.empty();
        Quantiles byPath = Quantiles.empty();
        // In turns, so that both see the same noise of the machine.
        IntStream.range(0, 10)
                .forEach(
                        turn -> {
                            measure(SAMPLES / 10, atOnce, direct, directly);
                            measure(SAMPLES / 10, atOnce, through, byPath);
                        });
        out.println(what + ", direct:  " + directly.describe());
        out.println(what + ", by path: " + byPath.describe());
        out.printf(
                "%s, added:   p50 %.2f ms, p99 %.2f ms%n",
                what, byPath.at(50) - directly.at(50), byPath.at(99) - directly.at(99));
    }

    private Quantiles measure(
            int samples, int atOnce, IntFunction<CompletableFuture<Observation>> call) {
        Quantiles quantiles = Quantiles.empty();
        measure(samples, atOnce, call, quantiles);
        return quantiles;
    }

    private static void measure(
            int samples,
            int atOnce,
            IntFunction<CompletableFuture<Observation>> call,
            Quantiles into) {
        for (int sample = 0; sample < samples; sample += atOnce) {
            List<CompletableFuture<Observation>> batch = new ArrayList<>();
            IntStream.range(0, atOnce).mapToObj(call).forEach(batch::add);
            batch.stream().map(CompletableFuture::join).forEach(seen -> add(seen, into));
        }
    }

    private static void add(Observation seen, Quantiles into) {
        if (seen.outcome() != Outcome.WHOLE) {
            throw StackException.of("not a whole answer: " + seen);
        }
        into.add(seen.totalMillis());
    }

    private String prompt() {
        prompts++;
        return "measured call " + prompts;
    }

    private CompletableFuture<Observation> model(String address) {
        return caller.send(address, ModelRequest.of(SampleAccounts.CEVALLOS, MODEL, prompt()));
    }

    private ServiceRequest service(Optional<String> key) {
        return SampleAccounts.serviceRequest(SampleAccounts.CEVALLOS, "POST", prompt(), key);
    }

    private CompletableFuture<Observation> call(String address) {
        return caller.send(address, service(Optional.empty()));
    }

    private CompletableFuture<Observation> direct(String address) {
        return caller.sendDirect(address, service(Optional.empty()));
    }

    private CompletableFuture<Observation> keyed(String address) {
        return caller.send(address, service(Optional.of("measured-key-" + prompts)));
    }
}
