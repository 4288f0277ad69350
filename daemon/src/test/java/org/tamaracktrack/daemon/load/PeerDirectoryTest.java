package org.tamaracktrack.daemon.load;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.tamaracktrack.core.dispatch.Peer;
import org.tamaracktrack.core.id.DataCentreId;
import org.tamaracktrack.daemon.relay.RelayPair;
import org.tamaracktrack.link.topic.RecordBatch;
import org.tamaracktrack.link.topic.TopicPart;

class PeerDirectoryTest {
    private static final TopicPart PART = new TopicPart("duties", 3);
    private static final Peer HOLDER = new Peer("holder", DataCentreId.of("home"), "10.0.0.1:1");
    private static final Peer OTHER = new Peer("other", DataCentreId.of("home"), "10.0.0.2:1");

    private RelayPair pair;
    private final Heard ofHolder = new Heard();
    private final Heard ofOther = new Heard();

    /** What a daemon has heard last. */
    private static final class Heard implements PeerDirectory.Listener {
        private volatile List<Peer> peers = List.of();
        private volatile int daemons;
        private volatile int lists;

        @Override
        public void onPeers(List<Peer> newer) {
            peers = newer;
        }

        @Override
        public void onListed(int newer, long atMillis) {
            daemons = newer;
            lists++;
        }
    }

    @BeforeEach
    void start() throws IOException {
        pair = RelayPair.start();
        PeerDirectory.start(HOLDER, PART, pair.holder(), pair.control(), ofHolder);
        PeerDirectory.start(OTHER, PART, pair.follower(), pair.control(), ofOther);
    }

    @AfterEach
    void close() {
        pair.close();
    }

    private void meet() {
        pair.grantLease();
        pair.await(
                () -> {
                    publishAsReadsDo();
                    return ofHolder.peers.equals(List.of(OTHER))
                            && ofOther.peers.equals(List.of(HOLDER));
                });
    }

    // A daemon relies on the holder only while it hears of its reads.
    private void publishAsReadsDo() {
        pair.holder().publish(new TopicPart("registry", 0), new RecordBatch(0, List.of(), 0));
    }

    @Test
    void shouldFindEachOtherThroughTheHolder() {
        meet();

        assertThat(ofHolder.peers).containsExactly(OTHER);
        assertThat(ofOther.peers).containsExactly(HOLDER);
    }

    // Guards against daemons that know nothing of each other while the lease changes hands.
    @Test
    void shouldKeepItsPeersWhenTheHolderIsLost() {
        meet();

        pair.onControl(() -> pair.holder().updateHolder(false, Optional.empty()));

        pair.await(() -> !pair.follower().connected());
        assertThat(ofOther.peers).containsExactly(HOLDER);
    }

    // Guards against messages to a host that is gone for good.
    @Test
    void shouldTakeADaemonOffTheListWhenItFallsSilent() {
        meet();

        pair.onControl(pair.follower()::close);

        pair.await(() -> ofHolder.peers.isEmpty());
        assertThat(ofHolder.peers).isEmpty();
    }

    @Test
    void shouldSayHowManyDaemonsThereAreAsLongAsTheHolderSaysSo() {
        meet();
        int heard = ofOther.lists;

        pair.await(() -> ofOther.lists > heard + 2);
        assertThat(ofOther.daemons).isEqualTo(2);
        assertThat(ofHolder.daemons).isEqualTo(2);
    }

    // Guards against a part of the retry budget by a list that nobody stands for any more.
    @Test
    void shouldHearOfNoListWhenTheHolderIsLost() {
        meet();

        pair.onControl(() -> pair.holder().updateHolder(false, Optional.empty()));
        pair.await(() -> !pair.follower().connected());
        int heard = ofOther.lists;
        pair.onControl(() -> {});

        assertThat(ofOther.lists).isEqualTo(heard);
    }
}
