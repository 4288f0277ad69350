package org.tamaracktrack.cli.command;

import java.io.PrintStream;
import java.util.Map;
import java.util.Objects;
import java.util.function.Supplier;
import org.tamaracktrack.core.id.PublicationId;

/**
 * What a command finds around it.
 *
 * @param variables the environment variables
 * @param out for results
 * @param errors for messages
 * @param links opens the connections to outside systems
 * @param publications draws identifiers for publications
 */
public record Environment(
        Map<String, String> variables,
        PrintStream out,
        PrintStream errors,
        Links links,
        Supplier<PublicationId> publications) {

    /** Checks the arguments. */
    public Environment {
        Objects.requireNonNull(out, "out is null");
        Objects.requireNonNull(errors, "errors is null");
        Objects.requireNonNull(links, "links is null");
        Objects.requireNonNull(publications, "publications is null");
        variables = Map.copyOf(variables);
    }
}
