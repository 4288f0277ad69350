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
 * Follows the ownership of targets: in the log, and while that is out by asking other entry
 * daemons. Used on the control thread.
 */
final class OwnershipAsker implements LogFollower.Listener {
    private static final Logger LOG = Logger.getLogger(OwnershipAsker.class);
    private static final long ASK_MILLIS = 1_000;

    private final FrameTransport transport;
    private final ControlThread control;
    private final List<InetSocketAddress> peers;
    private final TargetDirectory targets;
    private final Map<InetSocketAddress, Optional<Connection>> connections = new HashMap<>();
    private boolean following;

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
        OwnershipAsker asker = new OwnershipAsker(transport, control, peers, targets);
        if (!peers.isEmpty()) {
            control.every(ASK_MILLIS, asker::tick);
        }
        return asker;
    }

    private void tick() {
        if (following) {
            connections.values().forEach(open -> open.ifPresent(Connection::close));
            connections.clear();
        } else {
            peers.forEach(this::ask);
        }
    }

    private void ask(InetSocketAddress peer) {
        Optional<Connection> connection = connections.get(peer);
        if (connection == null) {
            connections.put(peer, Optional.empty());
            transport.connect(peer, new Handler(peer));
        } else {
            connection.ifPresent(open -> open.send(new Message.OwnershipQuery()));
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
        following = true;
    }

    @Override
    public void onReachable(boolean reachable) {
        following = false;
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
