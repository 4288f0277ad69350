package org.tamaracktrack.bench;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.ParameterException;
import org.tamaracktrack.bench.trace.TraceFlags;

/** Entry point of the program. */
public final class Main {
    private static final int EXIT_USAGE = 2;

    private Main() {}

    /**
     * Runs the program.
     *
     * @param arguments the command line
     */
    public static void main(String[] arguments) {
        TraceFlags trace = new TraceFlags();
        JCommander commander = JCommander.newBuilder().addCommand("placement-trace", trace).build();
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
        trace.run();
    }
}
