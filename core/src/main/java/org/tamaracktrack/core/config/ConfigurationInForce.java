package org.tamaracktrack.core.config;

import java.util.Objects;

/**
 * A configuration in force, with its version and source document.
 *
 * @param version the offset of the accepted publication
 * @param document the document as published
 * @param configuration the document with its templates expanded
 * @param confirmed whether it was read from the log; false if a peer offered it
 */
public record ConfigurationInForce(
        long version, String document, Configuration configuration, boolean confirmed) {

    /** Checks the arguments. */
    public ConfigurationInForce {
        Objects.requireNonNull(document, "document is null");
        Objects.requireNonNull(configuration, "configuration is null");
    }
}
