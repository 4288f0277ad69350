package org.tamaracktrack.bench;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import java.nio.file.Path;
import java.util.List;
import org.tamaracktrack.bench.load.Experiments;
import org.tamaracktrack.bench.local.LocalRun;
import org.tamaracktrack.bench.measure.Measurements;
import org.tamaracktrack.bench.slope.Slopes;
import org.tamaracktrack.bench.trace.TraceFlags;

/**
 * Command line of the bench: runs the system on one host, and measures its running processes or its
 * decision code alone.
 */
public final class Main {
    private static final int EXIT_USAGE = 2;

    private Main() {}

    /** A subcommand; its annotated fields are its flags. */
    private interface Command {
        int run();
    }

    private static final class Local implements Command {
        @Parameter(names = "--once", description = "send requests, print a report, and stop")
        private boolean once;

        @Parameter(names = "--root", description = "the directory of the project")
        private String root = ".";

        @Override
        public int run() {
            return LocalRun.of(Path.of(root), System.out).run(once);
        }
    }

    private static final class Measure implements Command {
        @Parameter(names = "--root", description = "the directory of the project")
        private String root = ".";

        @Parameter(names = "--what", description = "cost, footprint, recovery; may be repeated")
        private List<String> what = List.of("cost", "footprint", "recovery");

        @Override
        public int run() {
            return Measurements.run(Path.of(root), System.out, what);
        }
    }

    private static final class Experiment extends Experiments implements Command {
        @Override
        public int run() {
            return run(System.out);
        }
    }

    private static final class Trace extends TraceFlags implements Command {
        @Override
        public int run() {
            print();
            return 0;
        }
    }

    private static final class Slope implements Command {
        @Override
        public int run() {
            Slopes.of(System.out).run();
            return 0;
        }
    }

    /**
     * Parses the command line, runs the selected subcommand and exits with its status. Exits with
     * status 2 when no subcommand is given or the command line is invalid.
     *
     * @param arguments the command line
     */
    public static void main(String[] arguments) {
        JCommander commander =
                JCommander.newBuilder()
                        .addCommand("local", new Local())
                        .addCommand("measure", new Measure())
                        .addCommand("experiment", new Experiment())
                        .addCommand("placement-trace", new Trace())
                        .addCommand("slopes", new Slope())
                        .build();
        commander.setProgramName("bench");
        try {
            commander.parse(arguments);
        } catch (ParameterException invalid) {
            System.err.println(invalid.getMessage());
            System.exit(EXIT_USAGE);
        }
        if (commander.getParsedCommand() == null) {
            commander.usage();
            System.exit(EXIT_USAGE);
        }
        JCommander parsed = commander.getCommands().get(commander.getParsedCommand());
        System.exit(((Command) parsed.getObjects().get(0)).run());
    }
}
