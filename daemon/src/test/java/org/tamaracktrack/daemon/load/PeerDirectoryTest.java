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
    private volatile List<Peer> ofHolder = List.of();
    private volatile List<Peer> ofOther = List.of();

    @BeforeEach
    void start() throws IOException {
        pair = RelayPair.start();
        PeerDirectory.start(HOLDER, PART, pair.holder(), pair.control(), peers -> ofHolder = peers);
        PeerDirectory.start(OTHER, PART, pair.follower(), pair.control(), peers -> ofOther = peers);
    }

    @AfterEach
    void close() {
        pair.close();
    }

    private void meet() {
        pair.hold();
        pair.await(
                () -> {
                    publishAsReadsDo();
                    return ofHolder.equals(List.of(OTHER)) && ofOther.equals(List.of(HOLDER));
                });
    }

    // A daemon relies on the holder only while it hears of its reads.
    private void publishAsReadsDo() {
        pair.holder().publish(new TopicPart("registry", 0), new RecordBatch(0, List.of(), 0));
    }

    @Test
    void shouldFindEachOtherThroughTheHolder() {
        meet();

        assertThat(ofHolder).containsExactly(OTHER);
        assertThat(ofOther).containsExactly(HOLDER);
    }

    // Guards against daemons that know nothing of each other while the lease changes hands.
    @Test
    void shouldKeepItsPeersWhenTheHolderIsLost() {
        meet();

        pair.onControl(() -> pair.holder().holder(false, Optional.empty()));

        pair.await(() -> !pair.follower().connected());
        assertThat(ofOther).containsExactly(HOLDER);
    }

    // Guards against messages to a host that is gone for good.
    @Test
    void shouldTakeADaemonOffTheListWhenItFallsSilent() {
        meet();

        pair.onControl(pair.follower()::close);

        pair.await(() -> ofHolder.isEmpty());
        assertThat(ofHolder).isEmpty();
    }
}
