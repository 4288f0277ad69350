package org.tamaracktrack.core.config;

import java.util.Objects;

/**
 * A requirement that an accepted configuration states but cannot satisfy.
 *
 * @param path the place in the document
 * @param kind the kind of requirement
 * @param message the details, for operators
 */
public record Warning(String path, WarningKind kind, String message) {

    /** Checks the arguments. */
    public Warning {
        Objects.requireNonNull(path, "path is null");
        Objects.requireNonNull(kind, "kind is null");
        Objects.requireNonNull(message, "message is null");
    }
}
