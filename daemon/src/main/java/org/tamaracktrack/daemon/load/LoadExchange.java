package org.tamaracktrack.daemon.load;

import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import org.jboss.logging.Logger;
import org.tamaracktrack.core.dispatch.LoadShare;
import org.tamaracktrack.core.dispatch.PeerLoadShares;
import org.tamaracktrack.core.dispatch.RelayedReport;
import org.tamaracktrack.core.error.TamaracktrackException;
import org.tamaracktrack.core.fleet.TargetIncarnation;

/**
 * Sends the load of this daemon at each target to its peers whenever it changes, and receives
 * theirs. A message contains the complete load of its sender, so the next message makes up for a
 * lost one. Confined to the traffic thread.
 */
public final class LoadExchange {
    private static final Logger LOG = Logger.getLogger("tamaracktrack.load");

    /** Delay before a message is sent, so that changes close together are sent in one message. */
    private static final long BATCH_DELAY_MILLIS = 15;

    /** Additional delay per peer, so that the cost of sending does not grow with their number. */
    private static final long BATCH_DELAY_PER_PEER_MILLIS = 2;

    /** Period after which an unchanged load is sent again, so that peers do not let it expire. */
    private static final long REFRESH_MILLIS = 450;

    private final String process;
    private final Datagrams datagrams;
    private final Timer timer;
    private final Loads loads;
    private final PeerLoadShares peerShares = PeerLoadShares.empty();
    private Set<InetSocketAddress> peers = Set.of();
    private boolean sendScheduled;
    private boolean refreshScheduled;

    /** Schedules tasks on the traffic thread. */
    public interface Timer {
        /**
         * Runs a task after a delay.
         *
         * @param delayMillis the delay in milliseconds
         * @param task the task
         */
        void after(long delayMillis, Runnable task);

        /**
         * Returns the monotonic time.
         *
         * @return milliseconds
         */
        long nowMillis();
    }

    /** What this daemon knows of the load of targets. */
    public interface Loads {
        /**
         * Returns the load of this daemon.
         *
         * @return the load by target, without targets at which it has none
         */
        Map<TargetIncarnation, LoadShare> ownShares();

        /**
         * Returns the reports of targets that this daemon has received itself since the previous
         * call.
         *
         * @return the reports of targets that state how long work takes
         */
        List<RelayedReport> takeNewReports();

        /**
         * Records the total load of all peers at a target.
         *
         * @param target the target
         * @param share their load
         */
        void recordPeerShare(TargetIncarnation target, LoadShare share);

        /**
         * Records a report of a target that a peer has received.
         *
         * @param report the report
         */
        void recordPeerReport(RelayedReport report);
    }

    private LoadExchange(String process, Datagrams datagrams, Timer timer, Loads loads) {
        this.process = process;
        this.datagrams = datagrams;
        this.timer = timer;
        this.loads = loads;
    }

    /**
     * Creates an exchange without peers and starts to receive messages.
     *
     * @param process the name of this run of the process
     * @param datagrams sends and receives the messages
     * @param timer schedules messages
     * @param loads the load of targets as this daemon knows it
     * @return the exchange
     */
    public static LoadExchange of(String process, Datagrams datagrams, Timer timer, Loads loads) {
        Objects.requireNonNull(process, "process is null");
        Objects.requireNonNull(datagrams, "datagrams is null");
        Objects.requireNonNull(timer, "timer is null");
        Objects.requireNonNull(loads, "loads is null");
        LoadExchange exchange = new LoadExchange(process, datagrams, timer, loads);
        datagrams.onReceived(exchange::receive);
        return exchange;
    }

    /**
     * Replaces the peers and schedules a message to them.
     *
     * @param newPeers the addresses of the peers
     */
    public void updatePeers(List<InetSocketAddress> newPeers) {
        peers = new HashSet<>(newPeers);
        onLoadChanged();
    }

    /** Schedules a message, because the load of this daemon at a target has changed. */
    public void onLoadChanged() {
        if (!sendScheduled && !peers.isEmpty()) {
            sendScheduled = true;
            timer.after(
                    BATCH_DELAY_MILLIS + BATCH_DELAY_PER_PEER_MILLIS * peers.size(),
                    this::sendAndScheduleRefresh);
        }
    }

    private void sendAndScheduleRefresh() {
        sendScheduled = false;
        boolean hasLoad = sendShares();
        if (hasLoad && !refreshScheduled) {
            refreshScheduled = true;
            timer.after(REFRESH_MILLIS, this::refresh);
        }
    }

    private void refresh() {
        refreshScheduled = false;
        onLoadChanged();
    }

    /**
     * The load of the peers of this daemon.
     *
     * @param requests their requests at targets, together
     * @param peers the number of peers
     */
    public record PeerLoad(int requests, int peers) {
        /** The load without peers. */
        public static final PeerLoad NONE = new PeerLoad(0, 0);
    }

    /**
     * Returns the load of all peers.
     *
     * @return the load; a peer that sent no message recently has no requests
     */
    public PeerLoad peerLoad() {
        return new PeerLoad(peerShares.totalOutstanding(timer.nowMillis()), peers.size());
    }

    private boolean sendShares() {
        Map<TargetIncarnation, LoadShare> currentShares = loads.ownShares();
        byte[] message = new LoadRecord(process, currentShares, loads.takeNewReports()).encode();
        peers.forEach(peer -> datagrams.send(peer, message));
        return !currentShares.isEmpty();
    }

    private void receive(InetSocketAddress from, byte[] message) {
        if (!peers.contains(from)) {
            return;
        }
        try {
            LoadRecord record = LoadRecord.decode(message);
            peerShares
                    .update(record.process(), record.shares(), timer.nowMillis())
                    .forEach(loads::recordPeerShare);
            record.reports().forEach(loads::recordPeerReport);
        } catch (TamaracktrackException unreadable) {
            // The peer runs another version; its load is still included in the targets' load
            // reports.
            LOG.info("event=load-unreadable from=" + from);
        }
    }
}
