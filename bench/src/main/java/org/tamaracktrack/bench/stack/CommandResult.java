package org.tamaracktrack.bench.stack;

import java.util.Objects;

/**
 * Result of one run of the operators' command-line tool.
 *
 * @param status its exit status
 * @param output its standard output and standard error, merged
 */
public record CommandResult(int status, String output) {

    /** Checks the arguments. */
    public CommandResult {
        Objects.requireNonNull(output, "output is null");
    }
}
