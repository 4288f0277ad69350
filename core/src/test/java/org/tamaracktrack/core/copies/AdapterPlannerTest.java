package org.tamaracktrack.core.copies;

import static com.google.common.truth.Truth.assertThat;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.tamaracktrack.core.fleet.HeldModel;
import org.tamaracktrack.core.fleet.ModelNeed;
import org.tamaracktrack.core.fleet.TargetEntries;
import org.tamaracktrack.core.fleet.TargetEntry;
import org.tamaracktrack.core.fleet.TargetIncarnation;
import org.tamaracktrack.core.id.AdapterId;
import org.tamaracktrack.core.id.ModelId;
import org.tamaracktrack.core.id.TargetId;
import org.tamaracktrack.core.route.EngineSpecification;
import org.tamaracktrack.core.route.ModelSpecification;

/** Covers a model whose requests name one of many adapters, on engines with few adapter slots. */
class AdapterPlannerTest {
    private static final int ADAPTER_SLOTS = 2;
    private static final double ENGINE_MEGABYTES = 220;
    private static final double MODEL_MEGABYTES = 70;
    private static final double ADAPTER_MEGABYTES = 1;
    private static final ModelId MODEL = ModelId.of("model");

    private final Map<TargetIncarnation, EngineTracker> engines = new LinkedHashMap<>();
    private final Map<ModelNeed, Double> rates = new HashMap<>();
    private final Map<ModelNeed, Integer> waiting = new HashMap<>();
    private boolean waitingOnly;
    private List<AdapterId> adapters = adapters("busy", "calm", "idle");
    private int rateLookups;
    private long nowMillis = 10_000;

    private static List<AdapterId> adapters(String... names) {
        return Stream.of(names).map(AdapterId::of).collect(Collectors.toList());
    }

    private static ModelNeed need(String adapter) {
        return new ModelNeed(MODEL, Optional.of(AdapterId.of(adapter)));
    }

    private EngineTracker engine(String name, String... held) {
        EngineTracker tracker = EngineTracker.of(TargetEntries.HOME);
        List<HeldModel> models = List.of(new HeldModel(MODEL, Set.copyOf(adapters(held))));
        tracker.applyReport(
                new EngineReport(
                        0,
                        false,
                        0,
                        0,
                        TargetEntry.indexByModel(models),
                        Set.of(),
                        Set.of(),
                        Set.of(MODEL)),
                0);
        engines.put(new TargetIncarnation(TargetId.of(name), 0), tracker);
        return tracker;
    }

    private Optional<AdapterPlanner.Move> next() {
        ModelSpecification model =
                new ModelSpecification(
                        MODEL, MODEL_MEGABYTES, 8_600, 800, 1_700, ADAPTER_MEGABYTES, adapters);
        return AdapterPlanner.next(
                new AdapterPlanner.View(
                        new EngineSpecification(
                                64, ENGINE_MEGABYTES, ADAPTER_SLOTS, 1.4, Map.of(MODEL, model)),
                        engines,
                        Set.of(MODEL),
                        need -> {
                            rateLookups++;
                            return rates.getOrDefault(need, 0.0);
                        },
                        waiting,
                        waitingOnly,
                        nowMillis));
    }

    @Test
    void shouldLoadTheMostRequestedAdapterFirst() {
        engine("one");
        rates.put(need("busy"), 2.0);
        rates.put(need("calm"), 1.0);

        AdapterPlanner.Move move = next().orElseThrow();

        assertThat(move.order().load()).isTrue();
        assertThat(move.order().adapter()).isEqualTo(need("busy").adapter());
        assertThat(move.isUrgent()).isTrue();
    }

    @Test
    void shouldLoadAnUnrequestedAdapterWithoutUrgencyWhenASlotIsFree() {
        engine("one", "busy");
        adapters = adapters("busy", "idle");

        AdapterPlanner.Move move = next().orElseThrow();

        assertThat(move.order().adapter()).isEqualTo(need("idle").adapter());
        assertThat(move.isUrgent()).isFalse();
    }

    // Guards against engines that accept no model order for seconds because a series of orders for
    // adapters that no request waits for is left unanswered there.
    @Test
    void shouldLoadOnlyAwaitedAdaptersWhenOrdersAreUnanswered() {
        engine("one", "busy");
        rates.put(need("calm"), 2.0);
        waitingOnly = true;
        assertThat(next()).isEmpty();

        waiting.put(need("calm"), 1);
        assertThat(next().orElseThrow().order().adapter()).isEqualTo(need("calm").adapter());
    }

    @Test
    void shouldUnloadTheLeastRequestedAdapterWhenAWaitingRequestNeedsItsSlot() {
        engine("one", "busy", "idle");
        rates.put(need("busy"), 2.0);
        waiting.put(need("calm"), 1);

        AdapterPlanner.Move move = next().orElseThrow();

        assertThat(move.order().load()).isFalse();
        assertThat(move.order().adapter()).isEqualTo(need("idle").adapter());
    }

    @Test
    void shouldKeepAdaptersThatAreRequestedNearlyAsOften() {
        engine("one", "busy", "calm");
        rates.put(need("busy"), 2.0);
        rates.put(need("calm"), 1.5);
        rates.put(need("idle"), 2.5);

        assertThat(next()).isEmpty();
    }

    // Guards against endless unloads and loads when requests wait for three adapters and the
    // engine has two slots. Each load displaced an adapter that requests still waited for, with an
    // order every few milliseconds, and no adapter stayed long enough to serve a request.
    @Test
    void shouldStopIssuingOrdersWhenRequestsWaitForMoreAdaptersThanThereAreSlots() {
        EngineTracker tracker = engine("one");
        List.of("busy", "calm", "idle").forEach(name -> waiting.put(need(name), 1));

        int orders = 0;
        Optional<AdapterPlanner.Move> move = next();
        while (move.isPresent() && orders < 100) {
            tracker.beginOrder(move.get().order());
            tracker.orderAccepted(nowMillis);
            orders++;
            nowMillis += 6;
            move = next();
        }

        assertThat(orders).isEqualTo(ADAPTER_SLOTS);
    }

    @Test
    void shouldUnloadAnAdapterOnceTheRequestsThatWaitedForItWereServed() {
        EngineTracker tracker = engine("one", "calm");
        waiting.put(need("busy"), 1);
        tracker.beginOrder(next().orElseThrow().order());
        tracker.orderAccepted(nowMillis);
        waiting.clear();
        waiting.put(need("idle"), 1);
        rates.put(need("calm"), 100.0);

        assertThat(next()).isEmpty();
        nowMillis += 1_600;

        AdapterPlanner.Move move = next().orElseThrow();
        assertThat(move.order().load()).isFalse();
        assertThat(move.order().adapter()).isEqualTo(need("busy").adapter());
    }

    @Test
    void shouldIssueNoOrderToAnEngineWithAPendingOrder() {
        engine("one")
                .beginOrder(
                        new PlacementOrder(
                                engines.keySet().iterator().next(),
                                true,
                                MODEL,
                                need("calm").adapter()));
        rates.put(need("busy"), 2.0);

        assertThat(next()).isEmpty();
    }

    // Guards against a lookup of the rate for each pair of adapter and engine. With a large fleet
    // that was a hundred thousand lookups per pass, ten passes per second, on hosts with a quarter
    // of a core.
    @Test
    void shouldLookUpEachRateAFewTimesRegardlessOfTheNumberOfEngines() {
        IntStream.range(0, 40).forEach(index -> engine("engine" + index, "busy", "calm"));
        adapters =
                IntStream.range(0, 100)
                        .mapToObj(index -> AdapterId.of("adapter" + index))
                        .collect(Collectors.toList());

        next();

        int lookupsForAdapters = adapters.size();
        int lookupsForHeldAdaptersAndEngines = engines.size() * (2 * ADAPTER_SLOTS + 1);
        assertThat(rateLookups).isAtMost(lookupsForAdapters + lookupsForHeldAdaptersAndEngines);
    }
}
