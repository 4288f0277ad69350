package org.tamaracktrack.core.dispatch;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Objects;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/**
 * Selects the daemons with which a daemon exchanges load information: all daemons of a small
 * system, otherwise those of the same data centre, whose requests go to the same targets. The
 * number of messages per daemon grows with the daemons of one data centre up to a bound,
 * independent of the size of the system.
 */
public final class PeerSelection {
    /** Up to this number of other daemons, all of them are peers, whatever their data centre. */
    private static final int FULL_MESH_MAX_PEERS = 8;

    /**
     * Upper bound of peers, since each costs one message in and one out for nearly every request.
     */
    private static final int MAX_PEERS = 16;

    private PeerSelection() {}

    /**
     * Returns the peers of a daemon. The relation is symmetric.
     *
     * @param self the daemon
     * @param known all daemons, with or without the daemon itself
     * @return its peers
     */
    public static List<Peer> peersOf(Peer self, Collection<Peer> known) {
        Objects.requireNonNull(self, "self is null");
        List<Peer> others =
                known.stream()
                        .filter(peer -> !peer.address().equals(self.address()))
                        .collect(Collectors.toList());
        return others.size() <= FULL_MESH_MAX_PEERS ? others : nearbyPeers(self, others);
    }

    private static List<Peer> nearbyPeers(Peer self, List<Peer> others) {
        List<Peer> ring =
                others.stream()
                        .filter(peer -> peer.dataCentre().equals(self.dataCentre()))
                        .sorted(Comparator.comparing(Peer::process))
                        .collect(Collectors.toList());
        if (ring.size() <= MAX_PEERS) {
            return ring;
        }
        int position =
                (int)
                        ring.stream()
                                .filter(peer -> peer.process().compareTo(self.process()) < 0)
                                .count();
        return IntStream.range(position - MAX_PEERS / 2, position + MAX_PEERS / 2)
                .mapToObj(index -> ring.get(Math.floorMod(index, ring.size())))
                .collect(Collectors.toList());
    }
}
