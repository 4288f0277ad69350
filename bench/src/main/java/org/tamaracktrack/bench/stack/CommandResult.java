package org.tamaracktrack.bench.stack;

import java.util.Objects;

/**
 * What a run of the operators' tool gave.
 *
 * @param status its exit status
 * @param output what it printed, errors included
 */
public record CommandResult(int status, String output) {

    /** Checks the arguments. */
    public CommandResult {
        Objects.requireNonNull(output, "output is null");
    }
}
