package org.tamaracktrack.core.config;

import java.util.Objects;

/**
 * One reason why a configuration document is not accepted.
 *
 * @param path the place in the document, such as {@code models.order-reader.memoryMebibytes}
 * @param found a description of the value found
 * @param allowed a description of the values allowed
 * @param kind the kind of problem
 */
public record Problem(String path, String found, String allowed, ProblemKind kind) {

    /** Checks the arguments. */
    public Problem {
        Objects.requireNonNull(path, "path is null");
        Objects.requireNonNull(found, "found is null");
        Objects.requireNonNull(allowed, "allowed is null");
        Objects.requireNonNull(kind, "kind is null");
    }
}
