package org.tamaracktrack.cli;

import java.util.UUID;
import org.tamaracktrack.cli.command.Environment;
import org.tamaracktrack.cli.command.Links;
import org.tamaracktrack.cli.command.NetworkLinks;
import org.tamaracktrack.core.id.PublicationId;

/** The operators' tool, {@code tamaracktrack}. */
public final class Main {
    private Main() {}

    /**
     * Runs the tool.
     *
     * @param arguments the command line
     */
    public static void main(String[] arguments) {
        System.exit(run(arguments).number());
    }

    private static ExitCode run(String[] arguments) {
        try (Links links = NetworkLinks.of()) {
            Environment environment =
                    new Environment(
                            System.getenv(),
                            System.out,
                            System.err,
                            links,
                            () -> PublicationId.of(UUID.randomUUID().toString()));
            return CommandLine.of(environment).run(arguments);
        }
    }
}
