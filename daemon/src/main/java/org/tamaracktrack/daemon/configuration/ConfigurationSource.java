package org.tamaracktrack.daemon.configuration;

import java.util.Optional;
import java.util.function.Consumer;
import org.tamaracktrack.core.config.Configuration;

/** Provides the configuration in force. Its version never decreases. */
public interface ConfigurationSource {

    /**
     * Returns the configuration in force. May be called on any thread.
     *
     * @return the configuration; empty while there is none yet
     */
    Optional<VersionedConfiguration> current();

    /**
     * Returns the version in force, in the form used in messages between daemons. May be called on
     * any thread.
     *
     * @return the version; -1 while there is none yet
     */
    default long version() {
        return current().map(VersionedConfiguration::version).orElse(-1L);
    }

    /**
     * Adds a listener that is called on the control thread with each newer configuration, and first
     * with the one in force, if there is one.
     *
     * @param listener the listener
     */
    void addListener(Consumer<VersionedConfiguration> listener);

    /**
     * Applies a configuration offered by a peer if it is newer than the one in force. May be called
     * on any thread.
     *
     * @param version the version of the offered configuration
     * @param document the offered document, in JSON
     */
    void offer(long version, String document);

    /**
     * A configuration and its version.
     *
     * @param version the offset of the accepted publication
     * @param document the document as published, in JSON
     * @param configuration the document with its templates expanded
     */
    record VersionedConfiguration(long version, String document, Configuration configuration) {}
}
