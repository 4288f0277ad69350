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

/**
 * Measures the latency that the system adds to a call, compared with direct calls to the same
 * stand-in in the same run.
 */
public final class PathOverhead {
    private static final String MODEL = "order-reader";
    private static final int WARM_UP_SAMPLES = 500;
    private static final int SAMPLES = 2000;
    private static final int KEYED_SAMPLES = 300;

    private final LocalStack stack;
    private final PrintStream out;
    private final Caller caller = Caller.of();
    private int promptCount;

    private PathOverhead(LocalStack stack, PrintStream out) {
        this.stack = stack;
        this.out = out;
    }

    /**
     * Returns a measurement.
     *
     * @param stack the running sample system
     * @param out the stream to which results are printed
     * @return the measurement
     */
    public static PathOverhead of(LocalStack stack, PrintStream out) {
        Objects.requireNonNull(stack, "stack is null");
        return new PathOverhead(stack, out);
    }

    /** Measures and prints the latencies of model calls and service calls. */
    public void run() {
        String engine = engineWith(MODEL);
        String entry = stack.entry(0).httpAddress();
        compare(
                "model call, one at a time",
                1,
                sample -> callModel(engine),
                sample -> callModel(entry));
        compare(
                "model call, 8 at a time",
                8,
                sample -> callModel(engine),
                sample -> callModel(entry));
        String service = stack.services().values().iterator().next().address();
        compare(
                "service call, one at a time",
                1,
                sample -> callServiceDirectly(service),
                sample -> callService(entry));
        LatencyHistogram timesWithKey =
                measure(KEYED_SAMPLES, 1, sample -> callServiceWithKey(entry));
        out.println("service call with a claimed key: " + timesWithKey.describe());
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
                .orElseThrow(() -> StackException.of("no engine holds model " + model))
                .address();
    }

    private void compare(
            String name,
            int concurrency,
            IntFunction<CompletableFuture<Observation>> direct,
            IntFunction<CompletableFuture<Observation>> viaEntry) {
        measure(WARM_UP_SAMPLES, concurrency, direct);
        measure(WARM_UP_SAMPLES, concurrency, viaEntry);
        LatencyHistogram directTimes = LatencyHistogram.empty();
        LatencyHistogram timesViaEntry = LatencyHistogram.empty();
        // Blocks alternate so that other load on the host affects both in the same way.
        IntStream.range(0, 10)
                .forEach(
                        block -> {
                            measure(SAMPLES / 10, concurrency, direct, directTimes);
                            measure(SAMPLES / 10, concurrency, viaEntry, timesViaEntry);
                        });
        out.println(name + ", direct:  " + directTimes.describe());
        out.println(name + ", by path: " + timesViaEntry.describe());
        out.printf(
                "%s, added:   p50 %.2f ms, p99 %.2f ms%n",
                name,
                timesViaEntry.percentileMillis(50) - directTimes.percentileMillis(50),
                timesViaEntry.percentileMillis(99) - directTimes.percentileMillis(99));
    }

    private LatencyHistogram measure(
            int samples, int concurrency, IntFunction<CompletableFuture<Observation>> call) {
        LatencyHistogram histogram = LatencyHistogram.empty();
        measure(samples, concurrency, call, histogram);
        return histogram;
    }

    private static void measure(
            int samples,
            int concurrency,
            IntFunction<CompletableFuture<Observation>> call,
            LatencyHistogram histogram) {
        for (int sample = 0; sample < samples; sample += concurrency) {
            List<CompletableFuture<Observation>> batch = new ArrayList<>();
            IntStream.range(0, concurrency).mapToObj(call).forEach(batch::add);
            batch.stream()
                    .map(CompletableFuture::join)
                    .forEach(observation -> addWholeAnswer(observation, histogram));
        }
    }

    private static void addWholeAnswer(Observation observation, LatencyHistogram histogram) {
        if (observation.outcome() != Outcome.WHOLE) {
            throw StackException.of("call did not return a whole answer: " + observation);
        }
        histogram.add(observation.totalMillis());
    }

    private String nextPrompt() {
        promptCount++;
        return "measured call " + promptCount;
    }

    private CompletableFuture<Observation> callModel(String address) {
        return caller.send(address, ModelRequest.of(SampleAccounts.CEVALLOS, MODEL, nextPrompt()));
    }

    private ServiceRequest serviceRequest(Optional<String> key) {
        return SampleAccounts.serviceRequest(SampleAccounts.CEVALLOS, "POST", nextPrompt(), key);
    }

    private CompletableFuture<Observation> callService(String address) {
        return caller.send(address, serviceRequest(Optional.empty()));
    }

    private CompletableFuture<Observation> callServiceDirectly(String address) {
        return caller.sendDirect(address, serviceRequest(Optional.empty()));
    }

    private CompletableFuture<Observation> callServiceWithKey(String address) {
        return caller.send(address, serviceRequest(Optional.of("measured-key-" + promptCount)));
    }
}
