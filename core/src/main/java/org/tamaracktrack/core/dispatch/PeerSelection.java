package org.tamaracktrack.core.dispatch;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Objects;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/**
 * Chooses with whom a daemon exchanges loads: with all daemons of a small system, else with those
 * of its own data centre, whose requests go to the same targets. The number of messages then grows
 * with the daemons of one data centre and no further than a bound, whatever the size of the system.
 */
public final class PeerSelection {
    /** Up to this many others are all peers, wherever they are. */
    private static final int ALL = 8;

    /** Peers at most; each costs a message in and one out for nearly every request. */
    private static final int MOST = 16;

    private PeerSelection() {}

    /**
     * Chooses the peers of a daemon. The relation is symmetric.
     *
     * @param self the daemon
     * @param known all daemons, with or without itself
     * @return its peers
     */
    public static List<Peer> of(Peer self, Collection<Peer> known) {
        Objects.requireNonNull(self, "self is null");
        List<Peer> others =
                known.stream()
                        .filter(peer -> !peer.address().equals(self.address()))
                        .collect(Collectors.toList());
        return others.size() <= ALL ? others : near(self, others);
    }

    private static List<Peer> near(Peer self, List<Peer> others) {
        List<Peer> ring =
                others.stream()
                        .filter(peer -> peer.dataCentre().equals(self.dataCentre()))
                        .sorted(Comparator.comparing(Peer::process))
                        .collect(Collectors.toList());
        if (ring.size() <= MOST) {
            return ring;
        }
        int place =
                (int)
                        ring.stream()
                                .filter(peer -> peer.process().compareTo(self.process()) < 0)
                                .count();
        return IntStream.range(place - MOST / 2, place + MOST / 2)
                .mapToObj(index -> ring.get(Math.floorMod(index, ring.size())))
                .collect(Collectors.toList());
    }
}
