package org.tamaracktrack.bench;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import java.nio.file.Path;
import org.tamaracktrack.bench.local.LocalRun;

/** Runs the whole system on one machine: {@code local}. */
public final class Main {
    private static final int EXIT_USAGE = 2;

    private Main() {}

    private static final class LocalFlags {
        @Parameter(names = "--once", description = "send requests, print a report, and stop")
        private boolean once;

        @Parameter(names = "--root", description = "the directory of the project")
        private String root = ".";
    }

    /**
     * Runs the program.
     *
     * @param arguments the command line
     */
    public static void main(String[] arguments) {
        LocalFlags local = new LocalFlags();
        JCommander commander = JCommander.newBuilder().addCommand("local", local).build();
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
        System.exit(LocalRun.of(Path.of(local.root), System.out).run(local.once));
    }
}
