package org.tamaracktrack.daemon.load;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.util.List;
import java.util.Optional;
import java.util.Set;
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
    private static final Peer HOLDER = Peer.of("holder", DataCentreId.of("home"), "10.0.0.1:1");
    private static final Peer OTHER = Peer.of("other", DataCentreId.of("home"), "10.0.0.2:1");

    private RelayPair pair;
    private final RecordingListener holderListener = new RecordingListener();
    private final RecordingListener otherListener = new RecordingListener();

    /** Records the last events of a directory. */
    private static final class RecordingListener implements PeerDirectory.Listener {
        private volatile List<Peer> peers = List.of();
        private volatile int daemonCount;
        private volatile int listCount;

        @Override
        public void onPeers(List<Peer> newPeers) {
            peers = newPeers;
        }

        @Override
        public void onListed(Set<Peer> daemons, long atMillis) {
            daemonCount = daemons.size();
            listCount++;
        }
    }

    @BeforeEach
    void start() throws IOException {
        pair = RelayPair.start();
        PeerDirectory.start(HOLDER, PART, pair.holder(), pair.control(), holderListener);
        PeerDirectory.start(OTHER, PART, pair.follower(), pair.control(), otherListener);
    }

    @AfterEach
    void close() {
        pair.close();
    }

    private void connectDaemons() {
        pair.grantLease();
        pair.await(
                () -> {
                    publishEmptyBatch();
                    return holderListener.peers.equals(List.of(OTHER))
                            && otherListener.peers.equals(List.of(HOLDER));
                });
    }

    // A daemon relies on the holder only while it receives the results of the holder's reads.
    private void publishEmptyBatch() {
        pair.holder().publish(new TopicPart("registry", 0), new RecordBatch(0, List.of(), 0));
    }

    @Test
    void shouldDiscoverPeersThroughLeaseHolder() {
        connectDaemons();

        assertThat(holderListener.peers).containsExactly(OTHER);
        assertThat(otherListener.peers).containsExactly(HOLDER);
    }

    // Guards against daemons without peers while the lease passes to another holder.
    @Test
    void shouldKeepPeersWhenHolderIsLost() {
        connectDaemons();

        pair.onControl(() -> pair.holder().updateHolder(false, Optional.empty()));

        pair.await(() -> !pair.follower().connected());
        assertThat(otherListener.peers).containsExactly(HOLDER);
    }

    // Guards against messages to a daemon that has stopped permanently.
    @Test
    void shouldRemoveDaemonThatStoppedReporting() {
        connectDaemons();

        pair.onControl(pair.follower()::close);

        pair.await(() -> holderListener.peers.isEmpty());
        assertThat(holderListener.peers).isEmpty();
    }

    @Test
    void shouldReportDaemonCountWhileHolderConfirmsList() {
        connectDaemons();
        int countBefore = otherListener.listCount;

        pair.await(() -> otherListener.listCount > countBefore + 2);
        assertThat(otherListener.daemonCount).isEqualTo(2);
        assertThat(holderListener.daemonCount).isEqualTo(2);
    }

    // Guards against a share of the retry budget derived from a list that no holder confirms.
    @Test
    void shouldNotReportListWhenHolderIsLost() {
        connectDaemons();

        pair.onControl(() -> pair.holder().updateHolder(false, Optional.empty()));
        pair.await(() -> !pair.follower().connected());
        int countBefore = otherListener.listCount;
        pair.onControl(() -> {});

        assertThat(otherListener.listCount).isEqualTo(countBefore);
    }
}
