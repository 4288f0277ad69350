package org.tamaracktrack.core.copies;

import java.util.Collection;
import java.util.Comparator;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.ToDoubleFunction;
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

    private AdapterPlanner() {}

    /**
     * What the planner sees.
     *
     * @param specification what engines can hold
     * @param engines the engines that take work
     * @param asked models that are asked for
     * @param rate requests a second for an adapter
     * @param waiting requests that wait for a copy
     */
    public record View(
            EngineSpecification specification,
            Map<TargetIncarnation, EngineBook> engines,
            Set<ModelId> asked,
            ToDoubleFunction<ModelNeed> rate,
            Map<ModelNeed, Integer> waiting) {}

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
        return needs(view)
                .flatMap(need -> moves(view, need))
                .max(Comparator.comparingDouble(Move::worth));
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
                                                                Optional.of(adapter))));
    }

    private static long copies(View view, ModelNeed need) {
        return view.engines().values().stream()
                .filter(book -> holds(book, need.model(), need.adapter().orElseThrow()))
                .count();
    }

    private static boolean holds(EngineBook book, ModelId model, AdapterId adapter) {
        return book.held().getOrDefault(model, Set.of()).contains(adapter);
    }

    private static Stream<Move> moves(View view, ModelNeed need) {
        long copies = copies(view, need);
        if (copies >= MOST_COPIES) {
            return Stream.empty();
        }
        double waits = copies == 0 ? view.waiting().getOrDefault(need, 0) * WAITING_WORTH : 0;
        double worth = (rate(view, need) + waits) / ((copies + 1) * (copies + 1));
        return view.engines().entrySet().stream()
                .filter(engine -> engine.getValue().idle())
                .filter(engine -> engine.getValue().held().containsKey(need.model()))
                .filter(
                        engine ->
                                !holds(
                                        engine.getValue(),
                                        need.model(),
                                        need.adapter().orElseThrow()))
                .flatMap(
                        engine ->
                                move(view, engine.getKey(), engine.getValue(), need, worth)
                                        .stream());
    }

    private static double rate(View view, ModelNeed need) {
        return UNASKED_WORTH + view.rate().applyAsDouble(need);
    }

    private static Optional<Move> move(
            View view, TargetIncarnation engine, EngineBook book, ModelNeed need, double worth) {
        int used = book.held().values().stream().mapToInt(Collection::size).sum();
        int free = view.specification().adapterPlaces() - used;
        if (free > 0 && roomFor(view.specification(), book, need)) {
            // Engines with more free places first, so that an engine's share stays even.
            double spread = free * UNASKED_WORTH / 1_000;
            return Optional.of(
                    new Move(
                            new EngineOrder(engine, true, need.model(), need.adapter()),
                            worth + spread));
        }
        return leastWanted(view, book)
                .filter(victim -> worth > HYSTERESIS * kept(view, victim))
                .map(
                        victim ->
                                new Move(
                                        new EngineOrder(
                                                engine, false, victim.model(), victim.adapter()),
                                        worth - HYSTERESIS * kept(view, victim)));
    }

    private static boolean roomFor(
            EngineSpecification specification, EngineBook book, ModelNeed need) {
        double megabytes =
                specification
                        .model(need.model())
                        .map(ModelSpecification::adapterMegabytes)
                        .orElse(specification.megabytes());
        return CopyPlanner.used(specification, book) + megabytes <= specification.megabytes();
    }

    private static double kept(View view, ModelNeed need) {
        long copies = Math.max(1, copies(view, need));
        return rate(view, need) / (copies * copies);
    }

    private static Optional<ModelNeed> leastWanted(View view, EngineBook book) {
        return book.held().entrySet().stream()
                .flatMap(
                        held ->
                                held.getValue().stream()
                                        .map(
                                                adapter ->
                                                        new ModelNeed(
                                                                held.getKey(),
                                                                Optional.of(adapter))))
                .min(Comparator.comparingDouble(need -> kept(view, need)));
    }
}
