package org.tamaracktrack.core.config;

import java.util.Objects;

/**
 * Something that an accepted configuration cannot keep.
 *
 * @param path where in the document
 * @param kind what cannot be kept
 * @param message the details for people
 */
public record Warning(String path, WarningKind kind, String message) {

    /** Checks the arguments. */
    public Warning {
        Objects.requireNonNull(path, "path is null");
        Objects.requireNonNull(kind, "kind is null");
        Objects.requireNonNull(message, "message is null");
    }
}
