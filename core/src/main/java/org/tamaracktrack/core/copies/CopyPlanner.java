package org.tamaracktrack.core.copies;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.tamaracktrack.core.fleet.TargetIncarnation;
import org.tamaracktrack.core.id.AdapterId;
import org.tamaracktrack.core.id.ModelId;
import org.tamaracktrack.core.route.EngineSpecification;
import org.tamaracktrack.core.route.ModelSpecification;

/**
 * Chooses the next move of a model: the copy that takes the most load off the others, in place of
 * the copy that is missed least. Answers demand that moves to other models within seconds while
 * rarely asked models stay within reach of a quick load.
 */
public final class CopyPlanner {
    /** What a request that waits now adds to the worth of a first copy. */
    private static final double WAITING_WORTH = 6;

    /** What the only copy of a model is worth for each request a second. */
    private static final double ONLY_COPY_WORTH = 3;

    /** What the only copy of a model that nobody asked for of late is worth. */
    private static final double UNASKED_COPY_WORTH = 0.02;

    /**
     * A move has to be worth this many times what it displaces, so that moves do not undo others.
     */
    private static final double HYSTERESIS = 1.5;

    /** A move that gains less is not worth the pause that it causes, in requests a second. */
    private static final double LEAST_GAIN = 0.15;

    /** What is left of a copy's worth if it comes from disk, and from the weight store. */
    private static final double FROM_DISK = 0.9;

    private static final double FROM_STORE = 0.4;

    /** A first copy in a data centre saves bytes between data centres. */
    private static final double NEW_DATA_CENTRE = 1.25;

    private CopyPlanner() {}

    /**
     * What the planner sees.
     *
     * @param specification what engines can hold
     * @param engines the engines that take work
     * @param quick requests a second by model, of the last seconds
     * @param slow requests a second by model, of the last half minute
     * @param waiting requests that wait for a first copy, by model
     * @param storeAllows whether a load from the weight store may begin
     */
    public record View(
            EngineSpecification specification,
            Map<TargetIncarnation, EngineBook> engines,
            Map<ModelId, Double> quick,
            Map<ModelId, Double> slow,
            Map<ModelId, Integer> waiting,
            boolean storeAllows) {}

    private record Move(
            TargetIncarnation engine, ModelId model, Optional<ModelId> victim, double worth) {}

    /**
     * Chooses a move.
     *
     * @param view what is known
     * @return the order that begins it: an unload when room has to be made, else a load
     */
    public static Optional<EngineOrder> next(View view) {
        Map<ModelId, Integer> copies = copies(view);
        return wanted(view, copies)
                .flatMap(model -> moves(view, copies, model))
                .filter(move -> move.worth() > LEAST_GAIN)
                .max(Comparator.comparingDouble(Move::worth))
                .map(
                        move ->
                                new EngineOrder(
                                        move.engine(),
                                        move.victim().isEmpty(),
                                        move.victim().orElse(move.model()),
                                        Optional.empty()));
    }

    private static Map<ModelId, Integer> copies(View view) {
        Map<ModelId, Integer> copies = new HashMap<>();
        view.engines()
                .values()
                .forEach(
                        book -> {
                            book.held()
                                    .keySet()
                                    .forEach(model -> copies.merge(model, 1, Integer::sum));
                            book.arriving()
                                    .filter(model -> !book.held().containsKey(model))
                                    .ifPresent(model -> copies.merge(model, 1, Integer::sum));
                        });
        return copies;
    }

    private static Stream<ModelSpecification> wanted(View view, Map<ModelId, Integer> copies) {
        return view.specification().models().values().stream()
                .filter(model -> gain(view, copies, model.model()) > LEAST_GAIN);
    }

    private static double gain(View view, Map<ModelId, Integer> copies, ModelId model) {
        int count = copies.getOrDefault(model, 0);
        double rate = view.quick().getOrDefault(model, 0.0);
        if (count == 0) {
            double waits = view.waiting().getOrDefault(model, 0);
            return waits > 0 ? WAITING_WORTH + waits + rate : ONLY_COPY_WORTH * rate;
        }
        return rate / (count * (count + 1.0));
    }

    private static double loss(View view, Map<ModelId, Integer> copies, ModelId model) {
        int count = copies.getOrDefault(model, 1);
        double quick = view.quick().getOrDefault(model, 0.0);
        if (count <= 1) {
            double slow = Math.max(quick, view.slow().getOrDefault(model, 0.0));
            return UNASKED_COPY_WORTH + ONLY_COPY_WORTH * slow;
        }
        return quick / (count * (count - 1.0));
    }

    private static Stream<Move> moves(
            View view, Map<ModelId, Integer> copies, ModelSpecification model) {
        double gain = gain(view, copies, model.model());
        Set<Object> places =
                view.engines().values().stream()
                        .filter(book -> book.has(model.model()))
                        .map(EngineBook::dataCentre)
                        .collect(Collectors.toSet());
        return view.engines().entrySet().stream()
                .filter(engine -> engine.getValue().idle())
                .filter(engine -> !engine.getValue().has(model.model()))
                .filter(engine -> view.storeAllows() || atHand(engine.getValue(), model.model()))
                .flatMap(
                        engine -> {
                            EngineBook book = engine.getValue();
                            boolean newPlace = !places.contains(book.dataCentre());
                            double worth =
                                    gain
                                            * speed(book, model.model())
                                            * (newPlace ? NEW_DATA_CENTRE : 1);
                            return move(view, copies, engine.getKey(), book, model, worth).stream();
                        });
    }

    private static boolean atHand(EngineBook book, ModelId model) {
        return book.inMemory(model) || book.onDisk(model);
    }

    private static double speed(EngineBook book, ModelId model) {
        if (book.inMemory(model)) {
            return 1;
        }
        return book.onDisk(model) ? FROM_DISK : FROM_STORE;
    }

    private static Optional<Move> move(
            View view,
            Map<ModelId, Integer> copies,
            TargetIncarnation engine,
            EngineBook book,
            ModelSpecification model,
            double worth) {
        if (fits(view.specification(), book, model)) {
            return Optional.of(new Move(engine, model.model(), Optional.empty(), worth));
        }
        return book.held().keySet().stream()
                .min(Comparator.comparingDouble(held -> loss(view, copies, held)))
                .map(
                        victim ->
                                new Move(
                                        engine,
                                        model.model(),
                                        Optional.of(victim),
                                        worth - HYSTERESIS * loss(view, copies, victim)));
    }

    /**
     * Returns whether an engine has room for one more model.
     *
     * @param specification what engines can hold
     * @param book the engine
     * @param model the model
     * @return true when the weights fit beside all that it holds or may come to hold
     */
    static boolean fits(
            EngineSpecification specification, EngineBook book, ModelSpecification model) {
        return used(specification, book) + model.megabytes() <= specification.megabytes();
    }

    /**
     * Returns the accelerator memory that an engine's models and adapters take.
     *
     * @param specification what engines can hold
     * @param book the engine
     * @return megabytes
     */
    static double used(EngineSpecification specification, EngineBook book) {
        double held =
                book.held().entrySet().stream()
                        .mapToDouble(entry -> megabytes(specification, entry))
                        .sum();
        double arriving =
                book.arriving()
                        .filter(model -> !book.held().containsKey(model))
                        .flatMap(specification::model)
                        .map(ModelSpecification::megabytes)
                        .orElse(0.0);
        return held + arriving;
    }

    // A model that the configuration no longer names still takes memory; counted as nothing, the
    // engine would be ordered to hold more than it can.
    private static double megabytes(
            EngineSpecification specification, Map.Entry<ModelId, Set<AdapterId>> held) {
        return specification
                .model(held.getKey())
                .map(model -> model.megabytes() + held.getValue().size() * model.adapterMegabytes())
                .orElse(specification.megabytes());
    }
}
