package org.tamaracktrack.cli.command;

import java.io.PrintStream;
import java.util.Map;
import java.util.Objects;
import java.util.function.Supplier;
import org.tamaracktrack.core.id.PublicationId;

/**
 * The environment that a command runs in.
 *
 * @param variables the environment variables
 * @param out the stream for results
 * @param errors the stream for error messages
 * @param connections the connections to other systems
 * @param newPublicationIds generates identifiers of publications
 */
public record Environment(
        Map<String, String> variables,
        PrintStream out,
        PrintStream errors,
        Connections connections,
        Supplier<PublicationId> newPublicationIds) {

    /** Checks that no argument is null, and copies the variables. */
    public Environment {
        Objects.requireNonNull(out, "out is null");
        Objects.requireNonNull(errors, "errors is null");
        Objects.requireNonNull(connections, "connections is null");
        Objects.requireNonNull(newPublicationIds, "newPublicationIds is null");
        variables = Map.copyOf(variables);
    }
}
