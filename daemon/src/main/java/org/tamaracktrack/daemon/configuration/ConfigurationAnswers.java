package org.tamaracktrack.daemon.configuration;

import java.util.Objects;
import org.tamaracktrack.core.message.Message;
import org.tamaracktrack.link.frame.Connection;

/** What every daemon does with messages about the configuration, whoever they come from. */
public final class ConfigurationAnswers {
    private final ConfigurationSource configuration;

    private ConfigurationAnswers(ConfigurationSource configuration) {
        this.configuration = configuration;
    }

    /**
     * Returns the answers of a daemon.
     *
     * @param configuration its configuration
     * @return the answers
     */
    public static ConfigurationAnswers of(ConfigurationSource configuration) {
        Objects.requireNonNull(configuration, "configuration is null");
        return new ConfigurationAnswers(configuration);
    }

    /**
     * Handles a message if it concerns the configuration. For any thread.
     *
     * @param connection where it came from
     * @param message the message
     * @return true when it concerns nothing else
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
     * Asks the other end for a newer configuration.
     *
     * @param connection the connection
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
