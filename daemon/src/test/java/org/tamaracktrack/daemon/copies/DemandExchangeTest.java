package org.tamaracktrack.daemon.copies;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.tamaracktrack.core.copies.DemandTracker;
import org.tamaracktrack.core.copies.DemandUrgency;
import org.tamaracktrack.core.fleet.ModelNeed;
import org.tamaracktrack.core.id.ModelId;
import org.tamaracktrack.core.lease.ConditionalLease;
import org.tamaracktrack.daemon.relay.MemoryLog;
import org.tamaracktrack.daemon.relay.RecordRelay;
import org.tamaracktrack.daemon.relay.RelayPair;
import org.tamaracktrack.link.topic.TopicPart;

class DemandExchangeTest {
    private static final TopicPart LEASE = new TopicPart("duties", 0);
    private static final TopicPart DEMAND = new TopicPart("duties", 1);
    private static final ModelId MODEL = ModelId.of("model");
    private static final ModelNeed NEED = new ModelNeed(MODEL, Optional.empty());
    private static final DemandTracker.DemandCounts NOTHING =
            new DemandTracker.DemandCounts(Map.of(), Map.of(), Map.of());
    private static final DemandTracker.DemandCounts ASKED =
            new DemandTracker.DemandCounts(Map.of(NEED, 1), Map.of(), Map.of());

    private RelayPair pair;

    @BeforeEach
    void start() throws IOException {
        pair = RelayPair.start();
    }

    @AfterEach
    void close() {
        pair.close();
    }

    private DemandTracker daemon(
            String name,
            RecordRelay relay,
            MemoryLog leases,
            MemoryLog demands,
            DemandTracker.DemandCounts seen) {
        DemandTracker book = DemandTracker.empty();
        pair.onControl(
                () -> {
                    LeaseDriver lease =
                            LeaseDriver.start(
                                    leases,
                                    LEASE,
                                    pair.control(),
                                    ConditionalLease.of(
                                            name,
                                            Optional.empty(),
                                            relay::contact,
                                            ConditionalLease.Terms.of(3_000, 0)),
                                    relay);
                    DemandExchange.start(
                            name,
                            demands,
                            DEMAND,
                            pair.control(),
                            lease,
                            relay,
                            book,
                            () -> CompletableFuture.completedFuture(seen));
                });
        return book;
    }

    private boolean knows(DemandTracker book) {
        return book.demandUrgency(MODEL) == DemandUrgency.URGENT;
    }

    @Test
    void shouldTellTheHolderWithoutTheLog() {
        MemoryLog leases = new MemoryLog();
        DemandTracker holder = daemon("holder", pair.holder(), leases, new MemoryLog(), NOTHING);
        pair.await(pair.holder()::holding);
        daemon("other", pair.follower(), leases, new MemoryLog(), ASKED);

        pair.await(() -> knows(holder));
        pair.onControl(
                () -> assertThat(holder.demandUrgency(MODEL)).isEqualTo(DemandUrgency.URGENT));
    }

    // The daemon that gives orders is killed. What it was told went over connections and is lost
    // with it; the next one still has to know which models were ever asked for, or it keeps copies
    // of all of them.
    @Test
    void shouldRememberWhatTheHolderBeforeWasTold() {
        MemoryLog leases = new MemoryLog();
        MemoryLog demands = new MemoryLog();
        DemandTracker holder = daemon("holder", pair.holder(), leases, demands, NOTHING);
        pair.await(pair.holder()::holding);
        daemon("other", pair.follower(), leases, new MemoryLog(), ASKED);
        pair.await(() -> knows(holder));
        pair.await(() -> !demands.records().isEmpty());

        DemandTracker next = daemon("next", pair.unconnected(), new MemoryLog(), demands, NOTHING);

        pair.await(() -> knows(next));
        pair.onControl(() -> assertThat(next.demandUrgency(MODEL)).isEqualTo(DemandUrgency.URGENT));
    }
}
