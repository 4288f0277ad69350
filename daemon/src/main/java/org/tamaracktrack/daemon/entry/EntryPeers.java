package org.tamaracktrack.daemon.entry;

import java.util.Objects;
import java.util.Optional;
import org.tamaracktrack.core.error.TamaracktrackException;
import org.tamaracktrack.core.id.IncarnationId;
import org.tamaracktrack.core.message.Message;
import org.tamaracktrack.daemon.configuration.ConfigurationMessageHandler;
import org.tamaracktrack.daemon.configuration.ConfigurationSource;
import org.tamaracktrack.daemon.runtime.ControlThread;
import org.tamaracktrack.link.frame.Connection;
import org.tamaracktrack.link.frame.ConnectionHandler;

/**
 * Answers the queries of daemons that start while the log is unavailable: sends them the
 * configuration in force and the owners and addresses of the targets that this daemon knows.
 */
final class EntryPeers implements ConnectionHandler {
    private final ConfigurationSource configuration;
    private final ConfigurationMessageHandler answers;
    private final IncarnationId incarnation;
    private final ControlThread control;
    private final TargetDirectory targets;

    private EntryPeers(
            ConfigurationSource configuration,
            IncarnationId incarnation,
            ControlThread control,
            TargetDirectory targets) {
        this.configuration = configuration;
        this.answers = ConfigurationMessageHandler.of(configuration);
        this.incarnation = incarnation;
        this.control = control;
        this.targets = targets;
    }

    static EntryPeers of(
            ConfigurationSource configuration,
            IncarnationId incarnation,
            ControlThread control,
            TargetDirectory targets) {
        Objects.requireNonNull(configuration, "configuration is null");
        return new EntryPeers(configuration, incarnation, control, targets);
    }

    @Override
    public void onOpen(Connection connection) {
        connection.send(
                new Message.Hello(
                        incarnation, TargetPeers.ROLE, Optional.empty(), configuration.version()));
    }

    @Override
    public void onMessage(Connection connection, Message message) {
        if (message instanceof Message.OwnershipQuery) {
            control.post(() -> connection.send(new Message.OwnershipOffer(targets.ownedTargets())));
        } else {
            answers.handle(connection, message);
        }
    }

    @Override
    public void onClosed(Connection connection) {}

    @Override
    public void onConnectFailed(TamaracktrackException failure) {}
}
