package org.tamaracktrack.daemon.configuration;

import java.util.Optional;
import java.util.function.Consumer;
import org.tamaracktrack.core.config.Configuration;

/** The configuration in force. It never goes back to an older version. */
public interface ConfigurationSource {

    /**
     * Returns the configuration in force. For any thread.
     *
     * @return the configuration; empty while there is none yet
     */
    Optional<Versioned> current();

    /**
     * Returns the version in force, as daemons name it to each other. For any thread.
     *
     * @return the version; -1 while there is none yet
     */
    default long version() {
        return current().map(Versioned::version).orElse(-1L);
    }

    /**
     * Hears of each newer configuration, on the control thread; at once if there is one.
     *
     * @param listener the listener
     */
    void listen(Consumer<Versioned> listener);

    /**
     * Takes a configuration that a peer offers, if it is newer than the one in force. For any
     * thread.
     *
     * @param version its version
     * @param document its document
     */
    void offer(long version, String document);

    /**
     * A configuration and its version.
     *
     * @param version the offset of the accepted publication
     * @param document the document as published, in JSON
     * @param configuration the document with its templates expanded
     */
    record Versioned(long version, String document, Configuration configuration) {}
}
