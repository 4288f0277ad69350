package org.tamaracktrack.bench;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import java.nio.file.Path;
import java.util.List;
import org.tamaracktrack.bench.load.Experiments;
import org.tamaracktrack.bench.local.LocalRun;
import org.tamaracktrack.bench.measure.Measurements;
import org.tamaracktrack.bench.trace.TraceFlags;

/** The bench's commands: {@code local}, {@code measure}, {@code experiment} and others. */
public final class Main {
    private static final int EXIT_USAGE = 2;

    private Main() {}

    private static final class LocalFlags {
        @Parameter(names = "--once", description = "send requests, print a report, and stop")
        private boolean once;

        @Parameter(names = "--root", description = "the directory of the project")
        private String root = ".";
    }

    private static final class MeasureFlags {
        @Parameter(names = "--root", description = "the directory of the project")
        private String root = ".";

        @Parameter(names = "--what", description = "cost, footprint, recovery; may be repeated")
        private List<String> what = List.of("cost", "footprint", "recovery");
    }

    /**
     * Runs the program.
     *
     * @param arguments the command line
     */
    public static void main(String[] arguments) {
        LocalFlags local = new LocalFlags();
        MeasureFlags measure = new MeasureFlags();
        Experiments experiments = new Experiments();
        TraceFlags trace = new TraceFlags();
        JCommander commander =
                JCommander.newBuilder()
                        .addCommand("local", local)
                        .addCommand("measure", measure)
                        .addCommand("experiment", experiments)
                        .addCommand("placement-trace", trace)
                        .build();
        commander.setProgramName("bench");
        try {
            commander.parse(arguments);
        } catch (ParameterException wrong) {
            System.err.println(wrong.getMessage());
            System.exit(EXIT_USAGE);
        }
        if (commander.getParsedCommand() == null) {
            commander.usage();
            System.exit(EXIT_USAGE);
        }
        System.exit(
                switch (commander.getParsedCommand()) {
                    case "measure" ->
                            Measurements.run(Path.of(measure.root), System.out, measure.what);
                    case "experiment" -> experiments.run(System.out);
                    case "placement-trace" -> {
                        trace.run();
                        yield 0;
                    }
                    default -> LocalRun.of(Path.of(local.root), System.out).run(local.once);
                });
    }
}
