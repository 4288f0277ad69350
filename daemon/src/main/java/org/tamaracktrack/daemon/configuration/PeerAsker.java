package org.tamaracktrack.daemon.configuration;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import org.jboss.logging.Logger;
import org.tamaracktrack.core.error.TamaracktrackException;
import org.tamaracktrack.core.message.Message;
import org.tamaracktrack.daemon.runtime.ControlThread;
import org.tamaracktrack.link.frame.Connection;
import org.tamaracktrack.link.frame.ConnectionHandler;
import org.tamaracktrack.link.frame.FrameTransport;

/** Asks other daemons for the configuration for as long as the log can't be followed. */
public final class PeerAsker {
    private static final Logger LOG = Logger.getLogger(PeerAsker.class);
    private static final long ASK_MILLIS = 1_000;

    private final FollowedConfiguration configuration;
    private final FrameTransport transport;
    private final ControlThread control;
    private final List<InetSocketAddress> peers;
    private final ConfigurationAnswers answers;
    private final Map<InetSocketAddress, Optional<Connection>> connections = new HashMap<>();

    private PeerAsker(
            FollowedConfiguration configuration,
            FrameTransport transport,
            ControlThread control,
            List<InetSocketAddress> peers) {
        this.configuration = configuration;
        this.transport = transport;
        this.control = control;
        this.peers = List.copyOf(peers);
        this.answers = ConfigurationAnswers.of(configuration);
    }

    /**
     * Starts to ask whenever the log can't be followed.
     *
     * @param configuration the configuration followed; it takes what the peers offer
     * @param transport connections to daemons
     * @param control the control thread
     * @param peers the daemons to ask
     * @return the asker
     */
    public static PeerAsker start(
            FollowedConfiguration configuration,
            FrameTransport transport,
            ControlThread control,
            List<InetSocketAddress> peers) {
        Objects.requireNonNull(configuration, "configuration is null");
        Objects.requireNonNull(transport, "transport is null");
        Objects.requireNonNull(control, "control is null");
        PeerAsker asker = new PeerAsker(configuration, transport, control, peers);
        if (!peers.isEmpty()) {
            control.every(ASK_MILLIS, asker::tick);
        }
        return asker;
    }

    // Peers are asked again and again: the first to answer may itself be behind, and each higher
    // version replaces the one before.
    private void tick() {
        if (configuration.status().following()) {
            connections.values().forEach(open -> open.ifPresent(Connection::close));
            connections.clear();
            return;
        }
        peers.forEach(this::ask);
    }

    private void ask(InetSocketAddress peer) {
        Optional<Connection> connection = connections.get(peer);
        if (connection == null) {
            connections.put(peer, Optional.empty());
            transport.connect(peer, new AnswerHandler(peer));
        } else {
            connection.ifPresent(answers::query);
        }
    }

    private final class AnswerHandler implements ConnectionHandler {
        private final InetSocketAddress peer;

        private AnswerHandler(InetSocketAddress peer) {
            this.peer = peer;
        }

        @Override
        public void onOpen(Connection connection) {
            control.post(() -> connections.put(peer, Optional.of(connection)));
            answers.query(connection);
        }

        @Override
        public void onMessage(Connection connection, Message message) {
            answers.handle(connection, message);
        }

        @Override
        public void onClosed(Connection connection) {
            control.post(() -> connections.remove(peer));
        }

        @Override
        public void onConnectFailed(TamaracktrackException failure) {
            LOG.debugf("event=configuration-peer-unreachable code=%s", failure.code());
            control.post(() -> connections.remove(peer));
        }
    }
}
