package org.tamaracktrack.daemon.copies;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.tamaracktrack.core.fleet.FleetSnapshot;
import org.tamaracktrack.core.fleet.HeldModel;
import org.tamaracktrack.core.fleet.TargetAddress;
import org.tamaracktrack.core.fleet.TargetEntry;
import org.tamaracktrack.core.fleet.TargetIncarnation;
import org.tamaracktrack.core.id.AdapterId;
import org.tamaracktrack.core.id.DataCentreId;
import org.tamaracktrack.core.id.ModelId;
import org.tamaracktrack.core.id.ServiceId;
import org.tamaracktrack.core.id.SoftwareVersion;
import org.tamaracktrack.core.id.TargetId;
import org.tamaracktrack.daemon.relay.RelayPair;
import org.tamaracktrack.link.topic.TopicPart;

class HoldingsExchangeTest {
    private static final TopicPart PART = new TopicPart("duties", 2);
    private static final TargetIncarnation ENGINE = new TargetIncarnation(TargetId.of("engine"), 7);
    private static final ModelId MODEL = ModelId.of("model");
    private static final Map<ModelId, HeldModel> HELD =
            TargetEntry.indexByModel(
                    List.of(
                            new HeldModel(
                                    MODEL, Set.of(AdapterId.of("one"), AdapterId.of("two")))));

    private RelayPair pair;
    private HoldingsExchange holderExchange;
    private HoldingsExchange followerExchange;
    private volatile FleetSnapshot latestFleet = FleetSnapshot.empty();

    @BeforeEach
    void start() throws IOException {
        pair = RelayPair.start();
        holderExchange = HoldingsExchange.start(PART, pair.holder(), pair.control(), fleet -> {});
        followerExchange =
                HoldingsExchange.start(
                        PART, pair.follower(), pair.control(), fleet -> latestFleet = fleet);
        TargetEntry entry =
                new TargetEntry(
                        ENGINE,
                        ServiceId.of("engines"),
                        SoftwareVersion.of("v1"),
                        new TargetAddress("127.0.0.1", 1),
                        DataCentreId.of("home"),
                        8,
                        false,
                        1,
                        Map.of(),
                        Set.of(),
                        Set.of());
        pair.onControl(
                () ->
                        followerExchange.updateFleet(
                                FleetSnapshot.of(Map.of(ENGINE.target(), entry))));
    }

    @AfterEach
    void close() {
        pair.close();
    }

    private Map<ModelId, HeldModel> held() {
        return latestFleet.entry(ENGINE.target()).orElseThrow().models();
    }

    private void awaitRegistryState() {
        pair.await(() -> held().isEmpty());
        assertThat(held()).isEmpty();
    }

    // Guards against a daemon that never receives holdings because they were published only once,
    // before it was connected.
    @Test
    void shouldSendEarlierHoldingsToANewFollower() {
        pair.onControl(() -> pair.holder().updateHolder(true, Optional.empty()));
        pair.onControl(() -> holderExchange.publish(Map.of(ENGINE, HELD)));
        pair.grantLease();

        pair.await(
                () -> {
                    holderExchange.publish(Map.of(ENGINE, HELD));
                    return held().equals(HELD);
                });
        assertThat(held()).isEqualTo(HELD);
    }

    @Test
    void shouldReturnToTheRegistryWhenHoldingsAreNoLongerConfirmed() {
        shouldSendEarlierHoldingsToANewFollower();

        pair.onControl(() -> holderExchange.publish(Map.of()));

        awaitRegistryState();
    }

    // Guards against stale holdings of a frozen holder: its connections stay open, but it sends
    // nothing more.
    @Test
    void shouldReturnToTheRegistryWhenTheHolderStopsSending() {
        shouldSendEarlierHoldingsToANewFollower();

        awaitRegistryState();
    }

    @Test
    void shouldReturnToTheRegistryWhenTheConnectionToTheHolderCloses() {
        shouldSendEarlierHoldingsToANewFollower();

        pair.onControl(() -> pair.holder().updateHolder(false, Optional.empty()));

        awaitRegistryState();
    }

    // Guards against stale holdings after a daemon takes the lease: those that it received from the
    // former holder are no longer updated.
    @Test
    void shouldDiscardReceivedHoldingsWhenThisDaemonTakesTheLease() {
        shouldSendEarlierHoldingsToANewFollower();

        pair.onControl(() -> pair.follower().updateHolder(true, Optional.empty()));

        awaitRegistryState();
    }
}
