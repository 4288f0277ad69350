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
    private HoldingsExchange giver;
    private HoldingsExchange other;
    private volatile FleetSnapshot known = FleetSnapshot.empty();

    @BeforeEach
    void start() throws IOException {
        pair = RelayPair.start();
        giver = HoldingsExchange.start(PART, pair.holder(), pair.control(), fleet -> {});
        other =
                HoldingsExchange.start(
                        PART, pair.follower(), pair.control(), fleet -> known = fleet);
        TargetEntry entry =
                new TargetEntry(
                        ENGINE,
                        ServiceId.of("engines"),
                        new TargetAddress("127.0.0.1", 1),
                        DataCentreId.of("home"),
                        8,
                        false,
                        1,
                        Map.of(),
                        Set.of(),
                        Set.of());
        pair.onControl(() -> other.fleet(FleetSnapshot.of(Map.of(ENGINE.target(), entry))));
    }

    @AfterEach
    void close() {
        pair.close();
    }

    private Map<ModelId, HeldModel> held() {
        return known.entry(ENGINE.target()).orElseThrow().models();
    }

    private void awaitTheRegistrysWord() {
        pair.await(() -> held().isEmpty());
        assertThat(held()).isEmpty();
    }

    // The giver says it once, before the other daemon has a connection: it has to hear it anyhow.
    @Test
    void shouldTellANewcomerWhatWasSaidBefore() {
        pair.onControl(() -> pair.holder().holder(true, Optional.empty()));
        pair.onControl(() -> giver.publish(Map.of(ENGINE, HELD)));
        pair.hold();

        pair.await(
                () -> {
                    giver.publish(Map.of(ENGINE, HELD));
                    return held().equals(HELD);
                });
        assertThat(held()).isEqualTo(HELD);
    }

    @Test
    void shouldGoBackToTheRegistryWhenTheGiverIsNoLongerSure() {
        shouldTellANewcomerWhatWasSaidBefore();

        pair.onControl(() -> giver.publish(Map.of()));

        awaitTheRegistrysWord();
    }

    // The giver is frozen: its connections stay open, it says nothing more, and what it said
    // becomes old.
    @Test
    void shouldGoBackToTheRegistryWhenTheGiverFallsSilent() {
        shouldTellANewcomerWhatWasSaidBefore();

        awaitTheRegistrysWord();
    }

    @Test
    void shouldGoBackToTheRegistryWhenTheGiverIsLost() {
        shouldTellANewcomerWhatWasSaidBefore();

        pair.onControl(() -> pair.holder().holder(false, Optional.empty()));

        awaitTheRegistrysWord();
    }

    // A daemon takes the lease over. What the giver before it said is no longer kept up to date.
    @Test
    void shouldForgetWhatAnotherSaidWhenThisDaemonTakesTheLease() {
        shouldTellANewcomerWhatWasSaidBefore();

        pair.onControl(() -> pair.follower().holder(true, Optional.empty()));

        awaitTheRegistrysWord();
    }
}
