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

/** Requests the configuration from other daemons while the log can't be followed. */
public final class PeerAsker {
    private static final Logger LOG = Logger.getLogger(PeerAsker.class);
    private static final long REQUEST_PERIOD_MILLIS = 1_000;

    private final FollowedConfiguration configuration;
    private final FrameTransport transport;
    private final ControlThread control;
    private final List<InetSocketAddress> peers;
    private final ConfigurationMessageHandler messageHandler;
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
        this.messageHandler = ConfigurationMessageHandler.of(configuration);
    }

    /**
     * Starts a fetcher. While the log can't be followed, it sends a request to each peer once per
     * second.
     *
     * @param configuration the configuration to which the offers of peers are applied
     * @param transport opens connections to daemons
     * @param control the control thread
     * @param peers the addresses of the daemons to request from; none for no requests
     * @return the fetcher
     */
    public static PeerAsker start(
            FollowedConfiguration configuration,
            FrameTransport transport,
            ControlThread control,
            List<InetSocketAddress> peers) {
        Objects.requireNonNull(configuration, "configuration is null");
        Objects.requireNonNull(transport, "transport is null");
        Objects.requireNonNull(control, "control is null");
        PeerAsker fetcher = new PeerAsker(configuration, transport, control, peers);
        if (!peers.isEmpty()) {
            control.every(REQUEST_PERIOD_MILLIS, fetcher::requestUnlessFollowing);
        }
        return fetcher;
    }

    // Requests go to every peer and are repeated, because the first peer to respond may itself have
    // an old version. Each newer version replaces the one before.
    private void requestUnlessFollowing() {
        if (configuration.status().following()) {
            connections.values().forEach(open -> open.ifPresent(Connection::close));
            connections.clear();
            return;
        }
        peers.forEach(this::requestFrom);
    }

    private void requestFrom(InetSocketAddress peer) {
        Optional<Connection> connection = connections.get(peer);
        if (connection == null) {
            connections.put(peer, Optional.empty());
            transport.connect(peer, new PeerConnectionHandler(peer));
        } else {
            connection.ifPresent(messageHandler::query);
        }
    }

    private final class PeerConnectionHandler implements ConnectionHandler {
        private final InetSocketAddress peer;

        private PeerConnectionHandler(InetSocketAddress peer) {
            this.peer = peer;
        }

        @Override
        public void onOpen(Connection connection) {
            control.post(() -> connections.put(peer, Optional.of(connection)));
            messageHandler.query(connection);
        }

        @Override
        public void onMessage(Connection connection, Message message) {
            messageHandler.handle(connection, message);
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
