package org.tamaracktrack.core.dispatch;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.tamaracktrack.core.id.DataCentreId;

class PeerSelectionTest {
    private static final int MAX_PEERS = 16;

    private static List<Peer> daemons(int count, int dataCentres) {
        return IntStream.range(0, count)
                .mapToObj(index -> daemon(index, dataCentres))
                .collect(Collectors.toList());
    }

    private static Peer daemon(int index, int dataCentres) {
        return Peer.of(
                "daemon-" + index,
                DataCentreId.of("place-" + index % dataCentres),
                "10.0.0." + index + ":1");
    }

    @Test
    void shouldSelectAllDaemonsWhenSystemIsSmall() {
        List<Peer> all = daemons(4, 3);

        assertThat(PeerSelection.peersOf(all.get(0), all))
                .containsExactlyElementsIn(all.subList(1, 4));
    }

    @Test
    void shouldSelectDaemonsOfOwnDataCentreWhenSystemIsLarge() {
        List<Peer> all = daemons(33, 5);

        assertThat(
                        PeerSelection.peersOf(all.get(0), all).stream()
                                .map(Peer::process)
                                .collect(Collectors.toList()))
                .containsExactly(
                        "daemon-5",
                        "daemon-10",
                        "daemon-15",
                        "daemon-20",
                        "daemon-25",
                        "daemon-30");
    }

    // Guards against a daemon that counts its own requests twice after a restart at the same
    // address.
    @Test
    void shouldNotSelectOwnPredecessorAtSameAddress() {
        Peer self = daemon(0, 1);
        Peer predecessor = Peer.of("daemon-before", self.dataCentre(), self.address());

        assertThat(PeerSelection.peersOf(self, List.of(self, predecessor))).isEmpty();
    }

    // Guards against a number of messages that grows quadratically with the number of daemons, and
    // against a daemon that sends its load to others without receiving theirs.
    @Property(tries = 60, seed = "71")
    void shouldSelectSymmetricAndBoundedPeers(
            @ForAll @IntRange(min = 1, max = 320) int count,
            @ForAll @IntRange(min = 1, max = 6) int dataCentres) {
        List<Peer> all = daemons(count, dataCentres);

        for (Peer self : all) {
            List<Peer> peers = PeerSelection.peersOf(self, all);
            assertThat(peers.size()).isAtMost(MAX_PEERS);
            assertThat(peers).containsNoDuplicates();
            peers.forEach(peer -> assertThat(PeerSelection.peersOf(peer, all)).contains(self));
        }
    }
}
