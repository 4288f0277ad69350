package org.tamaracktrack.core.quota;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Objects;
import java.util.stream.Collectors;
import org.tamaracktrack.core.dispatch.Peer;

/**
 * The order in which daemons are preferred as coordinators, equal on all daemons with the same
 * list. Hosts with more processor time come first. A restarted daemon keeps its place, since the
 * order depends on addresses.
 */
public final class CoordinatorRanking {
    private CoordinatorRanking() {}

    /**
     * Ranks daemons.
     *
     * @param daemons the daemons on the list
     * @return their addresses, the most preferred first
     */
    public static List<String> of(Collection<Peer> daemons) {
        Objects.requireNonNull(daemons, "daemons is null");
        return daemons.stream()
                .sorted(
                        Comparator.comparingDouble(Peer::processorShare)
                                .reversed()
                                .thenComparing(peer -> mix(peer.address().hashCode()))
                                .thenComparing(Peer::address))
                .map(Peer::address)
                .distinct()
                .collect(Collectors.toList());
    }

    // Spreads addresses that differ in one character over the whole range.
    private static int mix(int hash) {
        int mixed = (hash ^ (hash >>> 16)) * 0x7feb352d;
        mixed = (mixed ^ (mixed >>> 15)) * 0x846ca68b;
        return mixed ^ (mixed >>> 16);
    }
}
