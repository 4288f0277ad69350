package org.tamaracktrack.core.config;

import java.util.Objects;

/**
 * One reason why a configuration document is not accepted.
 *
 * @param path where, such as {@code models.order-reader.memoryMebibytes}
 * @param found what is there
 * @param allowed what may be there
 * @param kind what is wrong with it
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
