package org.tamaracktrack.daemon.configuration;

import java.util.Objects;
import org.tamaracktrack.core.message.Message;
import org.tamaracktrack.link.frame.Connection;

/** Handles the configuration messages that daemons of either role exchange with each other. */
public final class ConfigurationMessageHandler {
    private final ConfigurationSource configuration;

    private ConfigurationMessageHandler(ConfigurationSource configuration) {
        this.configuration = configuration;
    }

    /**
     * Returns a handler for a daemon.
     *
     * @param configuration the configuration of this daemon
     * @return the handler
     */
    public static ConfigurationMessageHandler of(ConfigurationSource configuration) {
        Objects.requireNonNull(configuration, "configuration is null");
        return new ConfigurationMessageHandler(configuration);
    }

    /**
     * Handles a message if it concerns the configuration. A {@code Hello} that names a newer
     * version leads to a query, and is left for the caller to handle as well. May be called on any
     * thread.
     *
     * @param connection the connection on which the message arrived
     * @param message the message
     * @return true when the message concerns only the configuration, so that the caller need not
     *     handle it
     */
    public boolean handle(Connection connection, Message message) {
        if (message instanceof Message.ConfigurationQuery query) {
            offer(connection, query.haveVersion());
            return true;
        }
        if (message instanceof Message.ConfigurationOffer offer) {
            configuration.offer(offer.version(), offer.document());
            return true;
        }
        if (message instanceof Message.Hello hello
                && hello.configurationVersion() > configuration.version()) {
            query(connection);
        }
        return false;
    }

    /**
     * Requests a configuration newer than the version in force from the peer.
     *
     * @param connection the connection to the peer
     */
    public void query(Connection connection) {
        connection.send(new Message.ConfigurationQuery(configuration.version()));
    }

    private void offer(Connection connection, long haveVersion) {
        configuration
                .current()
                .filter(current -> current.version() > haveVersion)
                .ifPresent(
                        current ->
                                connection.send(
                                        new Message.ConfigurationOffer(
                                                current.version(), current.document())));
    }
}
