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
import org.tamaracktrack.core.copies.EngineWorkFactors;
import org.tamaracktrack.core.fleet.ModelNeed;
import org.tamaracktrack.core.fleet.TargetIncarnation;
import org.tamaracktrack.core.id.ModelId;
import org.tamaracktrack.core.id.TargetId;
import org.tamaracktrack.core.lease.ConditionalLease;
import org.tamaracktrack.daemon.relay.InMemoryTopicClient;
import org.tamaracktrack.daemon.relay.RecordRelay;
import org.tamaracktrack.daemon.relay.RelayPair;
import org.tamaracktrack.daemon.runtime.ControlThread;
import org.tamaracktrack.link.topic.TopicPart;

class DemandExchangeTest {
    private static final TopicPart LEASE = new TopicPart("duties", 0);
    private static final TopicPart DEMAND = new TopicPart("duties", 1);
    private static final ModelId MODEL = ModelId.of("model");
    private static final ModelNeed NEED = new ModelNeed(MODEL, Optional.empty());
    private static final DemandTracker.DemandCounts NO_DEMAND =
            new DemandTracker.DemandCounts(Map.of(), Map.of(), Map.of());
    private static final DemandTracker.DemandCounts ONE_REQUEST =
            new DemandTracker.DemandCounts(Map.of(NEED, 1), Map.of(), Map.of());

    private static final TargetIncarnation ENGINE = new TargetIncarnation(TargetId.of("engine"), 0);
    private static final TargetIncarnation OTHER_ENGINE =
            new TargetIncarnation(TargetId.of("other"), 0);
    private static final long REPEAT_MILLIS = 9_000;

    private RelayPair pair;

    @BeforeEach
    void start() throws IOException {
        pair = RelayPair.start();
    }

    @AfterEach
    void close() {
        pair.close();
    }

    private DemandTracker startDaemon(
            String name,
            RecordRelay relay,
            InMemoryTopicClient leases,
            InMemoryTopicClient demands,
            DemandTracker.DemandCounts counts) {
        return startDaemon(
                name, relay, leases, demands, counts, EngineWorkFactors.empty(), Map.of());
    }

    private DemandTracker startDaemon(
            String name,
            RecordRelay relay,
            InMemoryTopicClient leases,
            InMemoryTopicClient demands,
            DemandTracker.DemandCounts counts,
            EngineWorkFactors workFactors,
            Map<TargetIncarnation, Double> ownFactors) {
        DemandTracker demandTracker = DemandTracker.empty();
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
                            demandTracker,
                            workFactors,
                            new DemandExchange.Source(
                                    () -> CompletableFuture.completedFuture(counts),
                                    () -> CompletableFuture.completedFuture(ownFactors)));
                });
        return demandTracker;
    }

    private boolean hasUrgentDemand(DemandTracker demandTracker) {
        return demandTracker.demandUrgency(MODEL) == DemandUrgency.URGENT;
    }

    @Test
    void shouldReportToTheHolderWithoutTheLog() {
        InMemoryTopicClient leases = new InMemoryTopicClient();
        DemandTracker holder =
                startDaemon("holder", pair.holder(), leases, new InMemoryTopicClient(), NO_DEMAND);
        pair.await(pair.holder()::holding);
        startDaemon("other", pair.follower(), leases, new InMemoryTopicClient(), ONE_REQUEST);

        pair.await(() -> hasUrgentDemand(holder));
        pair.onControl(
                () -> assertThat(holder.demandUrgency(MODEL)).isEqualTo(DemandUrgency.URGENT));
    }

    // Guards against a holder that counts engines as of usual speed until the next repetition,
    // which is 10 s later, because the reports went to another holder or were lost.
    @Test
    void shouldReportWorkFactorsAgainWhenAnotherConnectionToTheHolderOpens() {
        InMemoryTopicClient leases = new InMemoryTopicClient();
        EngineWorkFactors known = EngineWorkFactors.empty();
        startDaemon(
                "holder",
                pair.holder(),
                leases,
                new InMemoryTopicClient(),
                NO_DEMAND,
                known,
                Map.of(ENGINE, 1.02));
        pair.await(() -> pair.holder().holding());
        startDaemon(
                "other",
                pair.follower(),
                leases,
                new InMemoryTopicClient(),
                NO_DEMAND,
                EngineWorkFactors.empty(),
                Map.of(OTHER_ENGINE, 1.58));
        pair.await(() -> current(known).equals(Map.of(ENGINE, 1.0, OTHER_ENGINE, 1.6)));

        long startedMillis = ControlThread.nowMillis();
        pair.onControl(
                () -> {
                    known.clear();
                    pair.holder().updateHolder(false, Optional.empty());
                });
        pair.await(() -> current(known).containsKey(OTHER_ENGINE));

        assertThat(ControlThread.nowMillis() - startedMillis).isLessThan(REPEAT_MILLIS);
    }

    @Test
    void shouldForgetWorkFactorsWhenItDoesNotHoldTheLease() {
        InMemoryTopicClient leases = new InMemoryTopicClient();
        startDaemon("holder", pair.holder(), leases, new InMemoryTopicClient(), NO_DEMAND);
        pair.await(pair.holder()::holding);
        EngineWorkFactors former = EngineWorkFactors.empty();
        pair.onControl(() -> former.record(Map.of(ENGINE, 1.6), ControlThread.nowMillis()));
        startDaemon(
                "other",
                pair.follower(),
                leases,
                new InMemoryTopicClient(),
                NO_DEMAND,
                former,
                Map.of(OTHER_ENGINE, 1.6));

        pair.await(() -> current(former).isEmpty());
    }

    private static Map<TargetIncarnation, Double> current(EngineWorkFactors factors) {
        return factors.current(ControlThread.nowMillis());
    }

    // Guards against a new holder that keeps replicas of all models: the reports sent to the former
    // holder over connections are lost when it is killed, but the new one has to know which models
    // were ever requested.
    @Test
    void shouldRestoreRequestedModelsAfterTheHolderIsKilled() {
        InMemoryTopicClient leases = new InMemoryTopicClient();
        InMemoryTopicClient demands = new InMemoryTopicClient();
        DemandTracker holder = startDaemon("holder", pair.holder(), leases, demands, NO_DEMAND);
        pair.await(pair.holder()::holding);
        startDaemon("other", pair.follower(), leases, new InMemoryTopicClient(), ONE_REQUEST);
        pair.await(() -> hasUrgentDemand(holder));
        pair.await(() -> !demands.records().isEmpty());

        DemandTracker next =
                startDaemon(
                        "next", pair.unconnected(), new InMemoryTopicClient(), demands, NO_DEMAND);

        pair.await(() -> hasUrgentDemand(next));
        pair.onControl(() -> assertThat(next.demandUrgency(MODEL)).isEqualTo(DemandUrgency.URGENT));
    }
}
