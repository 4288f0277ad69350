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

/** What each daemon uses at rest and under load. */
public final class Footprints {
    private static final Duration REST = Duration.ofSeconds(15);
    private static final Duration LOAD = Duration.ofSeconds(15);
    private static final int CALLERS_EACH = 16;

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
     * @param out where to print
     * @return the measurement
     */
    public static Footprints of(LocalStack stack, PrintStream out) {
        Objects.requireNonNull(stack, "stack is null");
        return new Footprints(stack, out);
    }

    /** Measures and prints. */
    public void run() {
        Map<String, Footprint> start = footprints();
        pause(REST);
        print("at rest", start);
        Map<String, Footprint> loaded = footprints();
        long from = System.nanoTime();
        SteadyLoad load =
                SteadyLoad.start(
                        stack.entries().stream().map(DaemonProcess::httpAddress).toList(),
                        CALLERS_EACH,
                        Footprints::request);
        pause(LOAD);
        print("under load", loaded);
        int ended = load.stop().size();
        double seconds = (System.nanoTime() - from) / 1e9;
        out.printf("load: %d requests in %.1f s, %.0f/s%n", ended, seconds, ended / seconds);
    }

    private static ModelRequest request(int number) {
        List<ModelRequest> models = SampleAccounts.requestsToEveryModel("load " + number);
        return models.get(number % models.size());
    }

    private Map<String, Footprint> footprints() {
        Map<String, Footprint> all = new LinkedHashMap<>();
        programs().forEach((name, program) -> all.put(name, Footprint.of(program.pid())));
        return all;
    }

    private Map<String, RunningProgram> programs() {
        Map<String, RunningProgram> programs = new LinkedHashMap<>();
        stack.entries().forEach(entry -> programs.put(entry.program().name(), entry.program()));
        stack.targets()
                .forEach((name, daemon) -> programs.put(daemon.program().name(), daemon.program()));
        return programs;
    }

    private void print(String what, Map<String, Footprint> before) {
        footprints()
                .forEach(
                        (name, footprint) ->
                                out.println(
                                        name
                                                + " "
                                                + what
                                                + ": "
                                                + footprint.since(before.get(name))));
    }

    private static void pause(Duration duration) {
        long until = System.nanoTime() + duration.toNanos();
        while (System.nanoTime() < until) {
            LockSupport.parkNanos(until - System.nanoTime());
        }
    }
}
