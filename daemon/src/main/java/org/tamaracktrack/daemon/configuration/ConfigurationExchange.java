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
import org.tamaracktrack.daemon.configuration.ConfigurationSource.Versioned;
import org.tamaracktrack.daemon.runtime.ControlThread;
import org.tamaracktrack.link.frame.Connection;
import org.tamaracktrack.link.frame.ConnectionHandler;
import org.tamaracktrack.link.frame.FrameTransport;

/**
 * Hands the configuration in force from daemon to daemon, for those that start or fall behind while
 * the log is out.
 */
public final class ConfigurationExchange {
    private static final Logger LOG = Logger.getLogger(ConfigurationExchange.class);
    private static final long ASK_MILLIS = 1_000;

    private final FollowedConfiguration configuration;
    private final FrameTransport transport;
    private final List<InetSocketAddress> peers;
    private final Map<InetSocketAddress, Optional<Connection>> asked = new HashMap<>();
    private final ControlThread control;

    private ConfigurationExchange(
            FollowedConfiguration configuration,
            FrameTransport transport,
            ControlThread control,
            List<InetSocketAddress> peers) {
        this.configuration = configuration;
        this.transport = transport;
        this.control = control;
        this.peers = List.copyOf(peers);
    }

    /**
     * Returns an exchange that asks nobody yet.
     *
     * @param configuration the configuration followed
     * @param transport connections to daemons
     * @param control the control thread
     * @param peers the daemons to ask
     * @return the exchange
     */
    public static ConfigurationExchange of(
            FollowedConfiguration configuration,
            FrameTransport transport,
            ControlThread control,
            List<InetSocketAddress> peers) {
        Objects.requireNonNull(configuration, "configuration is null");
        Objects.requireNonNull(transport, "transport is null");
        Objects.requireNonNull(control, "control is null");
        return new ConfigurationExchange(configuration, transport, control, peers);
    }

    /** Starts to ask the peers whenever the log can't be followed. */
    public void start() {
        if (!peers.isEmpty()) {
            control.post(this::ask);
            control.every(ASK_MILLIS, this::ask);
        }
    }

    /**
     * Handles a message if it concerns the configuration. For any thread.
     *
     * @param connection where it came from
     * @param message the message
     * @return false when it does not, or concerns others too
     */
    public boolean handle(Connection connection, Message message) {
        if (message instanceof Message.ConfigurationQuery query) {
            configuration
                    .current()
                    .filter(current -> current.version() > query.haveVersion())
                    .ifPresent(current -> offer(connection, current));
            return true;
        }
        if (message instanceof Message.ConfigurationOffer offer) {
            configuration.offer(offer.version(), offer.document());
            return true;
        }
        if (message instanceof Message.Hello hello
                && hello.configurationVersion() > haveVersion()) {
            query(connection);
        }
        return false;
    }

    /**
     * Returns a handler for connections that serve nothing but this exchange.
     *
     * @return the handler
     */
    public ConnectionHandler handler() {
        return new ExchangeHandler(Optional.empty());
    }

    private void ask() {
        if (configuration.status().following()) {
            asked.values().forEach(connection -> connection.ifPresent(Connection::close));
            asked.clear();
            return;
        }
        peers.forEach(this::ask);
    }

    private void ask(InetSocketAddress peer) {
        Optional<Connection> connection = asked.get(peer);
        if (connection == null) {
            asked.put(peer, Optional.empty());
            transport.connect(peer, new ExchangeHandler(Optional.of(peer)));
        } else {
            connection.ifPresent(this::query);
        }
    }

    private void query(Connection connection) {
        connection.send(new Message.ConfigurationQuery(haveVersion()));
    }

    private static void offer(Connection connection, Versioned current) {
        connection.send(new Message.ConfigurationOffer(current.version(), current.document()));
    }

    private long haveVersion() {
        return configuration.current().map(Versioned::version).orElse(-1L);
    }

    private final class ExchangeHandler implements ConnectionHandler {
        private final Optional<InetSocketAddress> peer;

        private ExchangeHandler(Optional<InetSocketAddress> peer) {
            this.peer = peer;
        }

        @Override
        public void onOpen(Connection connection) {
            peer.ifPresent(
                    address -> {
                        control.post(() -> asked.put(address, Optional.of(connection)));
                        query(connection);
                    });
        }

        @Override
        public void onMessage(Connection connection, Message message) {
            handle(connection, message);
        }

        @Override
        public void onClosed(Connection connection) {
            peer.ifPresent(address -> control.post(() -> asked.remove(address)));
        }

        @Override
        public void onConnectFailed(TamaracktrackException failure) {
            LOG.debugf("event=configuration-peer-unreachable code=%s", failure.code());
            peer.ifPresent(address -> control.post(() -> asked.remove(address)));
        }
    }
}
