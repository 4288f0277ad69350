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
 * Finds the peers of this daemon: each daemon tells the holder of the lease where it is reached,
 * which passes the list on, and says at each tick that it still holds. Without a holder the last
 * peers stay in use. On the control thread.
 */
public final class PeerDirectory {
    private static final Logger LOG = Logger.getLogger("tamaracktrack.load");

    private static final long TICK_MILLIS = 500;

    /** A daemon that has said nothing for this long is taken off the list. */
    private static final long SILENT_MILLIS = 2_500;

    private final Peer self;
    private final TopicPart part;
    private final RecordRelay relay;
    private final Listener listener;
    private final Map<Peer, Long> heardAtMillis = new HashMap<>();
    private Set<Peer> published = Set.of();
    private Optional<Set<Peer>> listed = Optional.empty();
    private volatile Set<Peer> selected = Set.of();
    private boolean newcomer;

    /** Hears of the daemons, on the control thread. */
    public interface Listener {
        /**
         * The peers of this daemon have changed.
         *
         * @param peers the peers
         */
        void onPeers(List<Peer> peers);

        /**
         * This daemon is on the holder's list.
         *
         * @param daemons how many daemons are on it
         * @param atMillis a time, by the steady clock of this process, at which it was still true
         */
        void onListed(int daemons, long atMillis);
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
     * @param part names what is passed on; nothing is ever appended to it
     * @param relay passes it on
     * @param control the thread that it belongs to
     * @param listener hears of the daemons
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
        control.post(directory::listen);
        control.every(TICK_MILLIS, directory::tick);
        return directory;
    }

    /**
     * Returns with how many daemons this one exchanges loads. May be asked by any thread.
     *
     * @return the number of its peers
     */
    public int peers() {
        return selected.size();
    }

    private void listen() {
        relay.onFollowerRecord(part, this::told);
        relay.onRecords(part, new FromHolder());
        relay.onFollower(() -> newcomer = true);
    }

    private final class FromHolder implements RecordRelay.Reader {
        @Override
        public void onBatch(RecordBatch batch, long wholeAtMillis) {
            batch.records().stream()
                    .flatMap(bytes -> decode(bytes).stream())
                    .forEach(PeerDirectory.this::select);
            if (wholeAtMillis != Message.Records.UNKNOWN_MILLIS) {
                listed.filter(list -> list.contains(self))
                        .ifPresent(list -> listener.onListed(list.size(), wholeAtMillis));
            }
        }

        // Peers are found again through the next holder; until then the last ones stay.
        @Override
        public void onLost() {
            listed = Optional.empty();
        }
    }

    private void tick() {
        if (!relay.holding()) {
            heardAtMillis.clear();
            published = Set.of();
            relay.sendToHolder(part, PeerRecord.encode(Set.of(self)));
            return;
        }
        long nowMillis = ControlThread.nowMillis();
        heardAtMillis.put(self, nowMillis);
        heardAtMillis.values().removeIf(heard -> nowMillis - heard > SILENT_MILLIS);
        Set<Peer> known = Set.copyOf(heardAtMillis.keySet());
        boolean anew = newcomer || !known.equals(published);
        List<byte[]> list = anew ? List.of(PeerRecord.encode(known)) : List.of();
        relay.publish(part, new RecordBatch(0, list, 1));
        if (anew) {
            newcomer = false;
            published = known;
            select(known);
        }
        listener.onListed(known.size(), nowMillis);
    }

    private void told(byte[] bytes) {
        long nowMillis = ControlThread.nowMillis();
        decode(bytes).ifPresent(said -> said.forEach(peer -> heardAtMillis.put(peer, nowMillis)));
    }

    private void select(Set<Peer> known) {
        listed = Optional.of(known);
        List<Peer> peers = PeerSelection.peersOf(self, known);
        Set<Peer> newer = Set.copyOf(peers);
        if (!newer.equals(selected)) {
            selected = newer;
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
            // Only our own daemons say this; one of another version has no peers among ours.
            LOG.info("event=peers-unreadable problem=\"" + unreadable.getMessage() + '"');
            return Optional.empty();
        }
    }
}
