package org.tamaracktrack.daemon.entry;

import java.util.Optional;
import org.tamaracktrack.core.error.TamaracktrackException;
import org.tamaracktrack.core.id.IncarnationId;
import org.tamaracktrack.core.message.Message;
import org.tamaracktrack.daemon.configuration.ConfigurationSource;
import org.tamaracktrack.link.frame.Connection;
import org.tamaracktrack.link.frame.ConnectionHandler;

/** Answers daemons that start while the log is out and ask for the configuration in force. */
final class ConfigurationPeers implements ConnectionHandler {
    private final ConfigurationSource configuration;
    private final IncarnationId incarnation;

    private ConfigurationPeers(ConfigurationSource configuration, IncarnationId incarnation) {
        this.configuration = configuration;
        this.incarnation = incarnation;
    }

    static ConfigurationPeers of(ConfigurationSource configuration, IncarnationId incarnation) {
        return new ConfigurationPeers(configuration, incarnation);
    }

    @Override
    public void onOpen(Connection connection) {
        connection.send(
                new Message.Hello(incarnation, TargetPeers.ROLE, Optional.empty(), version()));
    }

    private long version() {
        return configuration.current().map(ConfigurationSource.Versioned::version).orElse(-1L);
    }

    @Override
    public void onMessage(Connection connection, Message message) {
        if (message instanceof Message.ConfigurationQuery query) {
            configuration
                    .current()
                    .filter(current -> current.version() > query.haveVersion())
                    .ifPresent(
                            current ->
                                    connection.send(
                                            new Message.ConfigurationOffer(
                                                    current.version(), current.document())));
        } else if (message instanceof Message.ConfigurationOffer offer) {
            configuration.offer(offer.version(), offer.document());
        }
    }

    @Override
    public void onClosed(Connection connection) {}

    @Override
    public void onConnectFailed(TamaracktrackException failure) {}
}
