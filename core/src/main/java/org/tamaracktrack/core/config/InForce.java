package org.tamaracktrack.core.config;

import java.util.Objects;

/**
 * A configuration in force.
 *
 * @param version the offset of the accepted publication
 * @param document the document as published
 * @param configuration the document with its templates expanded
 * @param confirmed whether it was read from the log; false for one that a peer offered
 */
public record InForce(
        long version, String document, Configuration configuration, boolean confirmed) {

    /** Checks the arguments. */
    public InForce {
        Objects.requireNonNull(document, "document is null");
        Objects.requireNonNull(configuration, "configuration is null");
    }
}
