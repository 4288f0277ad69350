package org.tamaracktrack.daemon.load;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.jboss.logging.Logger;
import org.tamaracktrack.core.dispatch.Peer;
import org.tamaracktrack.core.dispatch.PeerSelection;
import org.tamaracktrack.core.error.TamaracktrackException;
import org.tamaracktrack.core.message.Message;
import org.tamaracktrack.daemon.relay.RecordRelay;
import org.tamaracktrack.daemon.runtime.ControlThread;
import org.tamaracktrack.link.topic.RecordBatch;
import org.tamaracktrack.link.topic.TopicPart;

/**
 * Discovers the peers of this daemon. Each daemon reports its address to the holder of the lease.
 * The holder sends the list of daemons to all and confirms it at each tick. Without a holder the
 * last peers stay in use. Confined to the control thread.
 */
public final class PeerDirectory {
    private static final Logger LOG = Logger.getLogger("tamaracktrack.load");

    private static final long TICK_MILLIS = 500;

    /** Time after the last report of a daemon at which it is removed from the list. */
    private static final long EXPIRY_MILLIS = 2_500;

    private final Peer self;
    private final TopicPart part;
    private final RecordRelay relay;
    private final Listener listener;
    private final Map<Peer, Long> lastReportAtMillis = new HashMap<>();
    private Set<Peer> published = Set.of();
    private Optional<Set<Peer>> listed = Optional.empty();
    private volatile Set<Peer> selected = Set.of();
    private boolean followerJoined;

    /** Receives the discovered daemons, on the control thread. */
    public interface Listener {
        /**
         * Called when the peers of this daemon have changed.
         *
         * @param peers the new peers
         */
        void onPeers(List<Peer> peers);

        /**
         * Called when the list of the holder is confirmed and includes this daemon.
         *
         * @param daemons the daemons on the list
         * @param atMillis the monotonic time of this process at which the list was still valid
         */
        void onListed(Set<Peer> daemons, long atMillis);
    }

    private PeerDirectory(Peer self, TopicPart part, RecordRelay relay, Listener listener) {
        this.self = self;
        this.part = part;
        this.relay = relay;
        this.listener = listener;
    }

    /**
     * Starts a directory.
     *
     * @param self this daemon
     * @param part the partition name under which lists are relayed; nothing is appended to it
     * @param relay relays reports to the holder and lists to the other daemons
     * @param control the thread that the directory is confined to
     * @param listener receives the discovered daemons
     * @return the directory
     */
    public static PeerDirectory start(
            Peer self,
            TopicPart part,
            RecordRelay relay,
            ControlThread control,
            Listener listener) {
        Objects.requireNonNull(self, "self is null");
        Objects.requireNonNull(listener, "listener is null");
        PeerDirectory directory = new PeerDirectory(self, part, relay, listener);
        control.post(directory::registerListeners);
        control.every(TICK_MILLIS, directory::tick);
        return directory;
    }

    /**
     * Returns the number of daemons that this one exchanges loads with. Safe for use by any thread.
     *
     * @return the number of its peers
     */
    public int peerCount() {
        return selected.size();
    }

    private void registerListeners() {
        relay.onFollowerRecord(part, this::receiveReport);
        relay.onRecords(part, new HolderReader());
        relay.onFollower(() -> followerJoined = true);
    }

    private final class HolderReader implements RecordRelay.Reader {
        @Override
        public void onBatch(RecordBatch batch, long completeAtMillis) {
            batch.records().stream()
                    .flatMap(bytes -> decode(bytes).stream())
                    .forEach(PeerDirectory.this::select);
            if (completeAtMillis != Message.Records.UNKNOWN_MILLIS) {
                listed.filter(list -> list.contains(self))
                        .ifPresent(list -> listener.onListed(list, completeAtMillis));
            }
        }

        // The last peers stay selected until the next holder sends a list.
        @Override
        public void onLost() {
            listed = Optional.empty();
        }
    }

    private void tick() {
        if (!relay.holding()) {
            lastReportAtMillis.clear();
            published = Set.of();
            relay.sendToHolder(part, PeerRecord.encode(Set.of(self)));
            return;
        }
        long nowMillis = ControlThread.nowMillis();
        lastReportAtMillis.put(self, nowMillis);
        lastReportAtMillis
                .values()
                .removeIf(reportedAtMillis -> nowMillis - reportedAtMillis > EXPIRY_MILLIS);
        Set<Peer> known = Set.copyOf(lastReportAtMillis.keySet());
        boolean sendList = followerJoined || !known.equals(published);
        List<byte[]> list = sendList ? List.of(PeerRecord.encode(known)) : List.of();
        relay.publish(part, new RecordBatch(0, list, 1));
        if (sendList) {
            followerJoined = false;
            published = known;
            select(known);
        }
        listener.onListed(known, nowMillis);
    }

    private void receiveReport(byte[] bytes) {
        long nowMillis = ControlThread.nowMillis();
        decode(bytes)
                .ifPresent(
                        reported ->
                                reported.forEach(peer -> lastReportAtMillis.put(peer, nowMillis)));
    }

    private void select(Set<Peer> known) {
        listed = Optional.of(known);
        List<Peer> peers = PeerSelection.peersOf(self, known);
        Set<Peer> newlySelected = Set.copyOf(peers);
        if (!newlySelected.equals(selected)) {
            selected = newlySelected;
            LOG.info(
                    "event=peers known="
                            + known.size()
                            + " peers="
                            + peers.stream().map(Peer::address).collect(Collectors.toList()));
            listener.onPeers(peers);
        }
    }

    private static Optional<Set<Peer>> decode(byte[] bytes) {
        try {
            return Optional.of(PeerRecord.decode(bytes));
        } catch (TamaracktrackException unreadable) {
            // Only daemons send this; one that runs another version is not accepted as a peer.
            LOG.info("event=peers-unreadable problem=\"" + unreadable.getMessage() + '"');
            return Optional.empty();
        }
    }
}
