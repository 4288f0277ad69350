package org.tamaracktrack.core.copies;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.ToDoubleFunction;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.tamaracktrack.core.fleet.ModelNeed;
import org.tamaracktrack.core.fleet.TargetIncarnation;
import org.tamaracktrack.core.id.AdapterId;
import org.tamaracktrack.core.id.ModelId;
import org.tamaracktrack.core.route.EngineSpecification;
import org.tamaracktrack.core.route.ModelSpecification;

/**
 * Chooses the next adapter to load or unload. An adapter loads in milliseconds, but a request for
 * one that is nowhere waits for its order to be given; so every adapter of the models that are
 * asked for is placed before anybody asks, and places that are left hold second copies.
 */
public final class AdapterPlanner {
    /** What a request that waits now adds to the worth of an adapter, in requests a second. */
    private static final double WAITING_WORTH = 10;

    /** An adapter that nobody asked for of late may be asked for next. */
    private static final double UNASKED_WORTH = 0.01;

    /** Above what second copies and adapters that nobody asks for are worth. */
    private static final double PRESSING_WORTH = 0.05;

    /** An adapter has to be worth this many times the one that it displaces. */
    private static final double HYSTERESIS = 2;

    /** A copy beside this many others is not worth an order. */
    private static final int MOST_COPIES = 3;

    /**
     * An adapter is not unloaded before the requests that wanted it had time to use it: daemons
     * learn of it up to a second after its load. Without the rest, with requests for more adapters
     * than an engine has places, adapters would displace each other and serve nobody.
     */
    private static final long SETTLING_MILLIS = 1_500;

    private AdapterPlanner() {}

    /**
     * What the planner sees.
     *
     * @param specification what engines can hold
     * @param engines the engines that take work
     * @param asked models that are asked for
     * @param rate requests a second for an adapter
     * @param waiting requests that wait for a copy
     * @param awaitedOnly whether only adapters are placed that requests wait for
     * @param nowMillis the monotonic time
     */
    public record View(
            EngineSpecification specification,
            Map<TargetIncarnation, EngineBook> engines,
            Set<ModelId> asked,
            ToDoubleFunction<ModelNeed> rate,
            Map<ModelNeed, Integer> waiting,
            boolean awaitedOnly,
            long nowMillis) {}

    /**
     * An order, and what it gains.
     *
     * @param order the order
     * @param worth requests a second that it serves
     */
    public record Move(EngineOrder order, double worth) {

        /**
         * Returns whether requests ask for the adapter now. Such a move goes before a load of
         * weights, during which its engine takes no other order for seconds.
         *
         * @return true when they do
         */
        public boolean pressing() {
            return worth > PRESSING_WORTH;
        }
    }

    /**
     * Chooses a move.
     *
     * @param view what is known
     * @return the move
     */
    public static Optional<Move> next(View view) {
        Map<ModelNeed, Long> copies = copies(view);
        List<Candidate> candidates =
                view.engines().entrySet().stream()
                        .filter(engine -> engine.getValue().idle())
                        .map(engine -> candidate(view, copies, engine.getKey(), engine.getValue()))
                        .collect(Collectors.toList());
        return needs(view)
                .flatMap(need -> moves(view, copies, candidates, need))
                .max(Comparator.comparingDouble(Move::worth));
    }

    private static Map<ModelNeed, Long> copies(View view) {
        return view.engines().values().stream()
                .flatMap(AdapterPlanner::adapters)
                .collect(Collectors.groupingBy(need -> need, Collectors.counting()));
    }

    private static Stream<ModelNeed> adapters(EngineBook book) {
        return book.held().entrySet().stream()
                .flatMap(
                        held ->
                                held.getValue().stream()
                                        .map(
                                                adapter ->
                                                        new ModelNeed(
                                                                held.getKey(),
                                                                Optional.of(adapter))));
    }

    /** An engine that can take an order, and the adapter that is missed least there. */
    private record Candidate(
            TargetIncarnation engine,
            EngineBook book,
            int freePlaces,
            double freeMegabytes,
            Optional<ModelNeed> victim,
            double loss) {}

    private static Candidate candidate(
            View view, Map<ModelNeed, Long> copies, TargetIncarnation engine, EngineBook book) {
        Optional<ModelNeed> victim =
                adapters(book)
                        .filter(need -> settled(view, book, need))
                        .min(Comparator.comparingDouble(need -> kept(view, copies, need)));
        int used = book.held().values().stream().mapToInt(Collection::size).sum();
        return new Candidate(
                engine,
                book,
                view.specification().adapterPlaces() - used,
                view.specification().megabytes() - CopyPlanner.used(view.specification(), book),
                victim,
                victim.map(need -> kept(view, copies, need)).orElse(0.0));
    }

    private static boolean settled(View view, EngineBook book, ModelNeed need) {
        return book.adapterHeldMillis(need, view.nowMillis()) >= SETTLING_MILLIS;
    }

    private static Stream<ModelNeed> needs(View view) {
        return view.specification().models().values().stream()
                .filter(model -> view.asked().contains(model.model()))
                .flatMap(
                        model ->
                                model.adapters().stream()
                                        .map(
                                                adapter ->
                                                        new ModelNeed(
                                                                model.model(),
                                                                Optional.of(adapter))))
                .filter(need -> !view.awaitedOnly() || view.waiting().containsKey(need));
    }

    private static boolean lacks(EngineBook book, ModelNeed need) {
        Set<AdapterId> adapters = book.held().get(need.model());
        return adapters != null && !adapters.contains(need.adapter().orElseThrow());
    }

    private static Stream<Move> moves(
            View view, Map<ModelNeed, Long> counted, List<Candidate> candidates, ModelNeed need) {
        long copies = counted.getOrDefault(need, 0L);
        if (copies >= MOST_COPIES) {
            return Stream.empty();
        }
        double waits = copies == 0 ? waits(view, need) : 0;
        double worth = (rate(view, need) + waits) / ((copies + 1) * (copies + 1));
        return candidates.stream()
                .filter(candidate -> lacks(candidate.book(), need))
                .flatMap(candidate -> move(view, candidate, need, worth).stream());
    }

    private static double waits(View view, ModelNeed need) {
        return view.waiting().getOrDefault(need, 0) * WAITING_WORTH;
    }

    private static double rate(View view, ModelNeed need) {
        return UNASKED_WORTH + view.rate().applyAsDouble(need);
    }

    private static Optional<Move> move(
            View view, Candidate candidate, ModelNeed need, double worth) {
        if (candidate.freePlaces() > 0 && megabytes(view, need) <= candidate.freeMegabytes()) {
            // Engines with more free places first, so that an engine's share stays even.
            double spread = candidate.freePlaces() * UNASKED_WORTH / 1_000;
            return Optional.of(
                    new Move(
                            new EngineOrder(candidate.engine(), true, need.model(), need.adapter()),
                            worth + spread));
        }
        return candidate
                .victim()
                .filter(victim -> worth > HYSTERESIS * candidate.loss())
                .map(
                        victim ->
                                new Move(
                                        new EngineOrder(
                                                candidate.engine(),
                                                false,
                                                victim.model(),
                                                victim.adapter()),
                                        worth - HYSTERESIS * candidate.loss()));
    }

    private static double megabytes(View view, ModelNeed need) {
        return view.specification()
                .model(need.model())
                .map(ModelSpecification::adapterMegabytes)
                .orElse(view.specification().megabytes());
    }

    private static double kept(View view, Map<ModelNeed, Long> counted, ModelNeed need) {
        long copies = counted.get(need);
        double waits = copies == 1 ? waits(view, need) : 0;
        return (rate(view, need) + waits) / (copies * copies);
    }
}
