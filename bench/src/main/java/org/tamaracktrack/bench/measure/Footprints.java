package org.tamaracktrack.bench.measure;

import java.io.PrintStream;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.locks.LockSupport;
import org.tamaracktrack.bench.caller.ModelRequest;
import org.tamaracktrack.bench.caller.SteadyLoad;
import org.tamaracktrack.bench.stack.DaemonProcess;
import org.tamaracktrack.bench.stack.LocalStack;
import org.tamaracktrack.bench.stack.RunningProgram;
import org.tamaracktrack.bench.stack.SampleAccounts;

/** Measures the resources that each daemon uses at rest and under load. */
public final class Footprints {
    private static final Duration IDLE_TIME = Duration.ofSeconds(15);
    private static final Duration LOAD_TIME = Duration.ofSeconds(15);
    private static final int CALLERS_PER_ENTRY = 16;

    private final LocalStack stack;
    private final PrintStream out;

    private Footprints(LocalStack stack, PrintStream out) {
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
    public static Footprints of(LocalStack stack, PrintStream out) {
        Objects.requireNonNull(stack, "stack is null");
        return new Footprints(stack, out);
    }

    /** Measures and prints the footprint of each daemon, and the rate of the load. */
    public void run() {
        Map<String, Footprint> beforeIdle = readFootprints();
        pause(IDLE_TIME);
        print("at rest", beforeIdle);
        Map<String, Footprint> beforeLoad = readFootprints();
        long startNanos = System.nanoTime();
        SteadyLoad load =
                SteadyLoad.start(
                        stack.entries().stream().map(DaemonProcess::httpAddress).toList(),
                        CALLERS_PER_ENTRY,
                        Footprints::request);
        pause(LOAD_TIME);
        print("under load", beforeLoad);
        int requestCount = load.stop().size();
        double seconds = (System.nanoTime() - startNanos) / 1e9;
        out.printf(
                "load: %d requests in %.1f s, %.0f/s%n",
                requestCount, seconds, requestCount / seconds);
    }

    private static ModelRequest request(int number) {
        List<ModelRequest> models = SampleAccounts.requestsToEveryModel("load " + number);
        return models.get(number % models.size());
    }

    private Map<String, Footprint> readFootprints() {
        Map<String, Footprint> footprints = new LinkedHashMap<>();
        programs().forEach((name, program) -> footprints.put(name, Footprint.of(program.pid())));
        return footprints;
    }

    private Map<String, RunningProgram> programs() {
        Map<String, RunningProgram> programs = new LinkedHashMap<>();
        stack.entries().forEach(entry -> programs.put(entry.program().name(), entry.program()));
        stack.targets()
                .forEach((name, daemon) -> programs.put(daemon.program().name(), daemon.program()));
        return programs;
    }

    private void print(String phase, Map<String, Footprint> before) {
        readFootprints()
                .forEach(
                        (name, footprint) ->
                                out.println(
                                        name
                                                + " "
                                                + phase
                                                + ": "
                                                + footprint.describeSince(before.get(name))));
    }

    private static void pause(Duration duration) {
        long deadlineNanos = System.nanoTime() + duration.toNanos();
        while (System.nanoTime() < deadlineNanos) {
            LockSupport.parkNanos(deadlineNanos - System.nanoTime());
        }
    }
}
