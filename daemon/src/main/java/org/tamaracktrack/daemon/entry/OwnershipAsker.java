package org.tamaracktrack.daemon.entry;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.jboss.logging.Logger;
import org.tamaracktrack.core.error.TamaracktrackException;
import org.tamaracktrack.core.log.LogRecord;
import org.tamaracktrack.core.log.LogStream;
import org.tamaracktrack.core.message.Message;
import org.tamaracktrack.daemon.runtime.ControlThread;
import org.tamaracktrack.daemon.runtime.LogFollower;
import org.tamaracktrack.link.frame.Connection;
import org.tamaracktrack.link.frame.ConnectionHandler;
import org.tamaracktrack.link.frame.FrameTransport;

/**
 * Follows the ownership of targets in the log and, while the log is not read up to its end, queries
 * other entry daemons. All methods must be called on the control thread.
 */
final class OwnershipAsker implements LogFollower.Listener {
    private static final Logger LOG = Logger.getLogger(OwnershipAsker.class);
    private static final long QUERY_INTERVAL_MILLIS = 1_000;

    private final FrameTransport transport;
    private final ControlThread control;
    private final List<InetSocketAddress> peers;
    private final TargetDirectory targets;
    private final Map<InetSocketAddress, Optional<Connection>> connections = new HashMap<>();
    private boolean caughtUp;

    private OwnershipAsker(
            FrameTransport transport,
            ControlThread control,
            List<InetSocketAddress> peers,
            TargetDirectory targets) {
        this.transport = transport;
        this.control = control;
        this.peers = List.copyOf(peers);
        this.targets = targets;
    }

    static OwnershipAsker start(
            FrameTransport transport,
            ControlThread control,
            List<InetSocketAddress> peers,
            TargetDirectory targets) {
        OwnershipAsker follower = new OwnershipAsker(transport, control, peers, targets);
        if (!peers.isEmpty()) {
            control.every(QUERY_INTERVAL_MILLIS, follower::tick);
        }
        return follower;
    }

    private void tick() {
        if (caughtUp) {
            connections
                    .values()
                    .forEach(openConnection -> openConnection.ifPresent(Connection::close));
            connections.clear();
        } else {
            peers.forEach(this::queryPeer);
        }
    }

    private void queryPeer(InetSocketAddress peer) {
        Optional<Connection> connection = connections.get(peer);
        if (connection == null) {
            connections.put(peer, Optional.empty());
            transport.connect(peer, new Handler(peer));
        } else {
            connection.ifPresent(
                    openConnection -> openConnection.send(new Message.OwnershipQuery()));
        }
    }

    @Override
    public void onRecord(LogRecord record) {
        targets.onOwnership(record);
    }

    @Override
    public void onGap(long firstOffset) {
        LOG.warnf(
                "event=log-gap stream=%s first_offset=%d", LogStream.OWNERSHIP.path(), firstOffset);
    }

    @Override
    public void onCaughtUp(long nextOffset) {
        caughtUp = true;
    }

    @Override
    public void onReachable(boolean reachable) {
        caughtUp = false;
    }

    private final class Handler implements ConnectionHandler {
        private final InetSocketAddress peer;

        private Handler(InetSocketAddress peer) {
            this.peer = peer;
        }

        @Override
        public void onOpen(Connection connection) {
            control.post(() -> connections.put(peer, Optional.of(connection)));
            connection.send(new Message.OwnershipQuery());
        }

        @Override
        public void onMessage(Connection connection, Message message) {
            if (message instanceof Message.OwnershipOffer offer) {
                control.post(() -> targets.onOwnershipOffered(offer.owned()));
            }
        }

        @Override
        public void onClosed(Connection connection) {
            control.post(() -> connections.remove(peer));
        }

        @Override
        public void onConnectFailed(TamaracktrackException failure) {
            control.post(() -> connections.remove(peer));
        }
    }
}
