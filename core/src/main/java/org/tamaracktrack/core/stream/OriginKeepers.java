package org.tamaracktrack.core.stream;

import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.tamaracktrack.core.dispatch.Peer;
import org.tamaracktrack.core.id.DataCentreId;

/**
 * Selects the daemons that keep the origin of a stream, by rendezvous hashing: a daemon that joins
 * or leaves changes the keepers of few streams. Keepers are in different data centres as far as
 * possible.
 */
final class OriginKeepers {
    private OriginKeepers() {}

    /**
     * Ranks daemons for a stream, equally on all daemons with the same list.
     *
     * @param attempt the attempt that brought the first event
     * @param daemons the daemons to choose from
     * @param count the number of daemons to return
     * @return the addresses of the keepers, the most preferred first
     */
    static List<String> of(String attempt, Collection<Peer> daemons, int count) {
        List<Peer> ranked =
                daemons.stream()
                        .sorted(
                                Comparator.comparingLong(
                                                (Peer peer) -> weight(attempt, peer.address()))
                                        .thenComparing(Peer::address))
                        .collect(Collectors.toList());
        Map<DataCentreId, Peer> firstByDataCentre = new LinkedHashMap<>();
        ranked.forEach(peer -> firstByDataCentre.putIfAbsent(peer.dataCentre(), peer));
        return Stream.concat(firstByDataCentre.values().stream(), ranked.stream())
                .map(Peer::address)
                .distinct()
                .limit(count)
                .collect(Collectors.toList());
    }

    // The finalizer of MurmurHash3; the sum of two hash codes alone would rank all streams alike.
    private static long weight(String attempt, String address) {
        long mixed = ((long) attempt.hashCode() << Integer.SIZE) ^ address.hashCode();
        mixed = (mixed ^ (mixed >>> 33)) * 0xff51afd7ed558ccdL;
        mixed = (mixed ^ (mixed >>> 33)) * 0xc4ceb9fe1a85ec53L;
        return mixed ^ (mixed >>> 33);
    }
}
