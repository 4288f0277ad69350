package org.tamaracktrack.cli;

import java.util.UUID;
import org.tamaracktrack.cli.command.Connections;
import org.tamaracktrack.cli.command.Environment;
import org.tamaracktrack.cli.command.NetworkConnections;
import org.tamaracktrack.core.id.PublicationId;

/** The main class of the operators' command-line tool, {@code tamaracktrack}. */
public final class Main {
    private Main() {}

    /**
     * Runs the tool.
     *
     * @param arguments the arguments of the process
     */
    public static void main(String[] arguments) {
        System.exit(run(arguments).number());
    }

    private static ExitCode run(String[] arguments) {
        try (Connections connections = NetworkConnections.of()) {
            Environment environment =
                    new Environment(
                            System.getenv(),
                            System.out,
                            System.err,
                            connections,
                            () -> PublicationId.of(UUID.randomUUID().toString()));
            return CommandLine.of(environment).run(arguments);
        }
    }
}
