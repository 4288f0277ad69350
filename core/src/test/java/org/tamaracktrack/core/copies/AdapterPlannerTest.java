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
import org.tamaracktrack.core.fleet.TargetEntry;
import org.tamaracktrack.core.fleet.TargetIncarnation;
import org.tamaracktrack.core.fleet.Targets;
import org.tamaracktrack.core.id.AdapterId;
import org.tamaracktrack.core.id.ModelId;
import org.tamaracktrack.core.id.TargetId;
import org.tamaracktrack.core.route.EngineSpecification;
import org.tamaracktrack.core.route.ModelSpecification;

/** The load pattern: a model's requests name one of many adapters; an engine has few places. */
class AdapterPlannerTest {
    private static final int PLACES = 2;
    private static final double ENGINE_MEGABYTES = 220;
    private static final double MODEL_MEGABYTES = 70;
    private static final double ADAPTER_MEGABYTES = 1;
    private static final ModelId MODEL = ModelId.of("model");

    private final Map<TargetIncarnation, EngineBook> engines = new LinkedHashMap<>();
    private final Map<ModelNeed, Double> rates = new HashMap<>();
    private final Map<ModelNeed, Integer> waiting = new HashMap<>();
    private boolean awaitedOnly;
    private List<AdapterId> adapters = adapters("busy", "calm", "idle");
    private int ratesRead;
    private long nowMillis = 10_000;

    private static List<AdapterId> adapters(String... names) {
        return Stream.of(names).map(AdapterId::of).collect(Collectors.toList());
    }

    private static ModelNeed need(String adapter) {
        return new ModelNeed(MODEL, Optional.of(AdapterId.of(adapter)));
    }

    private EngineBook engine(String name, String... held) {
        EngineBook book = EngineBook.of(Targets.HOME);
        List<HeldModel> models = List.of(new HeldModel(MODEL, Set.copyOf(adapters(held))));
        book.report(
                new EngineReport(
                        0,
                        false,
                        0,
                        0,
                        TargetEntry.byModel(models),
                        Set.of(),
                        Set.of(),
                        Set.of(MODEL)),
                0);
        engines.put(new TargetIncarnation(TargetId.of(name), 0), book);
        return book;
    }

    private Optional<AdapterPlanner.Move> next() {
        ModelSpecification model =
                new ModelSpecification(
                        MODEL, MODEL_MEGABYTES, 8_600, 800, 1_700, ADAPTER_MEGABYTES, adapters);
        return AdapterPlanner.next(
                new AdapterPlanner.View(
                        new EngineSpecification(
                                64, ENGINE_MEGABYTES, PLACES, 1.4, Map.of(MODEL, model)),
                        engines,
                        Set.of(MODEL),
                        need -> {
                            ratesRead++;
                            return rates.getOrDefault(need, 0.0);
                        },
                        waiting,
                        awaitedOnly,
                        nowMillis));
    }

    @Test
    void shouldLoadTheAdapterThatIsAskedForMostFirst() {
        engine("one");
        rates.put(need("busy"), 2.0);
        rates.put(need("calm"), 1.0);

        AdapterPlanner.Move move = next().orElseThrow();

        assertThat(move.order().load()).isTrue();
        assertThat(move.order().adapter()).isEqualTo(need("busy").adapter());
        assertThat(move.pressing()).isTrue();
    }

    @Test
    void shouldPlaceAnAdapterThatNobodyAsksForInAFreePlaceWithoutHaste() {
        engine("one", "busy");
        adapters = adapters("busy", "idle");

        AdapterPlanner.Move move = next().orElseThrow();

        assertThat(move.order().adapter()).isEqualTo(need("idle").adapter());
        assertThat(move.pressing()).isFalse();
    }

    // Guards against engines that take no model for seconds, since orders of adapters that nobody
    // waits for go unanswered there one after the other.
    @Test
    void shouldBringOnlyWhatRequestsWaitForWhenOrdersGoUnanswered() {
        engine("one", "busy");
        rates.put(need("calm"), 2.0);
        awaitedOnly = true;
        assertThat(next()).isEmpty();

        waiting.put(need("calm"), 1);
        assertThat(next().orElseThrow().order().adapter()).isEqualTo(need("calm").adapter());
    }

    @Test
    void shouldUnloadTheAdapterThatIsMissedLeastWhenAWaitingRequestNeedsItsPlace() {
        engine("one", "busy", "idle");
        rates.put(need("busy"), 2.0);
        waiting.put(need("calm"), 1);

        AdapterPlanner.Move move = next().orElseThrow();

        assertThat(move.order().load()).isFalse();
        assertThat(move.order().adapter()).isEqualTo(need("idle").adapter());
    }

    @Test
    void shouldKeepAdaptersThatAreAskedForNearlyAsMuch() {
        engine("one", "busy", "calm");
        rates.put(need("busy"), 2.0);
        rates.put(need("calm"), 1.5);
        rates.put(need("idle"), 2.5);

        assertThat(next()).isEmpty();
    }

    // Requests wait for three adapters, an engine has two places. The giver takes one out for the
    // third, which makes the first wait again, and so on: an order every few milliseconds, and no
    // adapter stays for long enough to serve the requests that it was loaded for.
    @Test
    void shouldComeToRestWhenRequestsWaitForMoreAdaptersThanThereArePlaces() {
        EngineBook book = engine("one");
        List.of("busy", "calm", "idle").forEach(name -> waiting.put(need(name), 1));

        int orders = 0;
        Optional<AdapterPlanner.Move> move = next();
        while (move.isPresent() && orders < 100) {
            book.sending(move.get().order());
            book.accepted(nowMillis);
            orders++;
            nowMillis += 6;
            move = next();
        }

        assertThat(orders).isEqualTo(PLACES);
    }

    @Test
    void shouldMakeRoomForTheNextOnceTheRequestsThatWaitedWereServed() {
        EngineBook book = engine("one", "calm");
        waiting.put(need("busy"), 1);
        book.sending(next().orElseThrow().order());
        book.accepted(nowMillis);
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
    void shouldOrderNothingOfAnEngineThatIsCarryingAnOrderOut() {
        engine("one")
                .sending(
                        new EngineOrder(
                                engines.keySet().iterator().next(),
                                true,
                                MODEL,
                                need("calm").adapter()));
        rates.put(need("busy"), 2.0);

        assertThat(next()).isEmpty();
    }

    // Asked for each pair of adapter and engine, the rates of a grown fleet were read a hundred
    // thousand times a pass, ten passes a second, on hosts with a quarter of a core.
    @Test
    void shouldReadEachRateAFewTimesHoweverManyEnginesThereAre() {
        IntStream.range(0, 40).forEach(index -> engine("engine" + index, "busy", "calm"));
        adapters =
                IntStream.range(0, 100)
                        .mapToObj(index -> AdapterId.of("adapter" + index))
                        .collect(Collectors.toList());

        next();

        int onceForEachAdapter = adapters.size();
        int twiceForEachHeldAndOnceForEachEngine = engines.size() * (2 * PLACES + 1);
        assertThat(ratesRead).isAtMost(onceForEachAdapter + twiceForEachHeldAndOnceForEachEngine);
    }
}
