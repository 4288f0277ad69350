package org.tamaracktrack.core.copies;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
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
    /** Requests a second that one copy serves well while its engine serves others too. */
    private static final double COPY_RATE = 6;

    /** Requests a second, of all models, at which an engine is about full. */
    private static final double ENGINE_RATE = 12;

    /** What a first copy is worth to requests that wait now, and to each of them. */
    private static final double WAITING_WORTH = 4;

    private static final double EACH_WAITING_WORTH = 1;

    /**
     * The part of it that counts if only requests ask that can wait for seconds. Counted in full,
     * rarely asked models took every free engine, and a model with twenty requests a second stayed
     * on two of eight engines for ten seconds.
     */
    private static final double PATIENT_SHARE = 0.4;

    /** What a first copy is worth for each request a second. */
    private static final double FIRST_COPY_WORTH = 1;

    /**
     * A model without a copy is more crowded than one with a single copy. Counted as less, four
     * engines loaded further copies of one model for nine seconds while another with as many
     * requests had none.
     */
    private static final double NO_COPY = 0.75;

    /**
     * What a first copy is worth if no engine has one at hand either: it would take the longest.
     */
    private static final double FAR_COPY_WORTH = 1;

    /** Engines that load from the weight store at once: they take no adapters for that long. */
    private static final double MOST_LOADING_SHARE = 0.5;

    /** What the only copy of a model is worth for each request a second of the last half minute. */
    private static final double ONLY_COPY_WORTH = 2;

    /** What any copy is worth besides. */
    private static final double ANY_COPY_WORTH = 0.03;

    /** What a copy of a model is worth that was never asked for: demand moves on to such. */
    private static final double NEW_COPY_WORTH = 0.5;

    /** The same for one that urgent requests asked for and then fell silent. */
    private static final double SILENT_COPY_WORTH = 0.2;

    /** A copy is not unloaded before the requests that wanted it had time to use it. */
    private static final long SETTLING_MILLIS = 1_500;

    /** What an unload costs for each request a second that has to finish or go elsewhere. */
    private static final double DISTURBANCE_WORTH = 0.1;

    /**
     * A move has to be worth this many times what it displaces, so that moves do not undo others.
     */
    private static final double HYSTERESIS = 1.5;

    /** A move that gains less is not worth its load and the pause that it causes. */
    private static final double LEAST_GAIN = 0.15;

    /** What is left of a copy's worth if it comes from disk, and from the weight store. */
    private static final double FROM_DISK = 0.9;

    private static final double FROM_STORE = 0.6;

    /** A first copy in a data centre saves bytes between data centres. */
    private static final double NEW_DATA_CENTRE = 1.25;

    /** What is left of a copy's worth on an engine that is full with other models. */
    private static final double LEAST_ROOM = 0.2;

    private CopyPlanner() {}

    /**
     * What the planner sees.
     *
     * @param specification what engines can hold
     * @param engines the engines that take work
     * @param quick requests a second by model, of the last seconds
     * @param slow requests a second by model, of the last half minute
     * @param waiting requests that wait for a first copy, by model
     * @param askedBy what kind of requests have asked for a model
     * @param settled whether demand has been seen for long enough to tell what is not asked for
     * @param storeAllows whether a load from the weight store may begin
     * @param nowMillis the monotonic time
     */
    public record View(
            EngineSpecification specification,
            Map<TargetIncarnation, EngineBook> engines,
            Map<ModelId, Double> quick,
            Map<ModelId, Double> slow,
            Map<ModelId, Integer> waiting,
            Function<ModelId, AskedBy> askedBy,
            boolean settled,
            boolean storeAllows,
            long nowMillis) {}

    /**
     * A model to be loaded.
     *
     * @param engine where
     * @param model the model
     * @param victim the model that has to be unloaded first
     * @param worth what the move gains, to compare moves by
     */
    public record Move(
            TargetIncarnation engine, ModelId model, Optional<ModelId> victim, double worth) {

        /**
         * Returns the order that begins the move.
         *
         * @return an unload when room has to be made, else a load
         */
        public EngineOrder order() {
            return new EngineOrder(
                    engine, victim.isEmpty(), victim.orElse(model), Optional.empty());
        }
    }

    /**
     * Chooses a move.
     *
     * @param view what is known
     * @return the move; empty when none is worth it
     */
    public static Optional<Move> next(View view) {
        return begun(view).or(() -> best(view));
    }

    /** The load that room was made for. */
    private static Optional<Move> begun(View view) {
        return view.engines().entrySet().stream()
                .filter(engine -> engine.getValue().successorMayFollow())
                .flatMap(engine -> begun(view, engine.getKey(), engine.getValue()).stream())
                .findFirst();
    }

    private static Optional<Move> begun(View view, TargetIncarnation engine, EngineBook book) {
        return book.successor()
                .flatMap(view.specification()::model)
                .filter(model -> !book.held().containsKey(model.model()))
                .filter(model -> fits(view.specification(), book, model))
                .filter(model -> view.storeAllows() || atHand(book, model.model()))
                .map(model -> new Move(engine, model.model(), Optional.empty(), 0));
    }

    private static Optional<Move> best(View view) {
        Map<ModelId, Integer> copies = copies(view);
        return wanted(view, copies)
                .flatMap(model -> moves(view, copies, model))
                .filter(move -> move.worth() > LEAST_GAIN)
                .max(Comparator.comparingDouble(Move::worth));
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
                            book.coming()
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
            int waits = view.waiting().getOrDefault(model, 0);
            double waiting = waits > 0 ? WAITING_WORTH + EACH_WAITING_WORTH * waits : 0;
            double share = view.askedBy().apply(model) == AskedBy.PATIENT ? PATIENT_SHARE : 1;
            return share * waiting
                    + FIRST_COPY_WORTH * rate
                    + crowding(rate) / NO_COPY
                    + (far(view, model) ? FAR_COPY_WORTH : 0);
        }
        return crowding(rate) / (count * (count + 1.0));
    }

    // When the last engine that had a model leaves, nobody notices until it is asked for and takes
    // the longest to load; brought up in a calm moment it is within reach from then on.
    private static boolean far(View view, ModelId model) {
        return view.engines().values().stream().noneMatch(book -> atHand(book, model));
    }

    // A copy that is asked for twice as much is four times as crowded; a second copy of it takes
    // half of that away. So the few busiest models get many copies before the others get two.
    private static double crowding(double rate) {
        return rate * rate / COPY_RATE;
    }

    private static double loss(View view, Map<ModelId, Integer> copies, ModelId model) {
        int count = copies.getOrDefault(model, 1);
        double quick = view.quick().getOrDefault(model, 0.0);
        if (count <= 1) {
            double slow = Math.max(quick, view.slow().getOrDefault(model, 0.0));
            return onlyCopyWorth(view.askedBy().apply(model)) + ONLY_COPY_WORTH * slow;
        }
        // In the first seconds every rate is small, also that of the busiest model, whose copies
        // were placed in advance; taken for unasked, they were unloaded as the day began.
        boolean expected = !view.settled() || view.askedBy().apply(model) == AskedBy.NOBODY;
        return (expected ? NEW_COPY_WORTH : ANY_COPY_WORTH)
                + DISTURBANCE_WORTH * quick / count
                + crowding(quick) / (count * (count - 1.0));
    }

    private static double onlyCopyWorth(AskedBy askedBy) {
        return switch (askedBy) {
            case NOBODY -> NEW_COPY_WORTH;
            case PATIENT -> ANY_COPY_WORTH;
            case URGENT -> SILENT_COPY_WORTH;
        };
    }

    private static Stream<Move> moves(
            View view, Map<ModelId, Integer> copies, ModelSpecification model) {
        double gain = gain(view, copies, model.model());
        long loading = view.engines().values().stream().filter(EngineBook::loading).count();
        boolean storeAllows =
                view.storeAllows() && loading < MOST_LOADING_SHARE * view.engines().size();
        Set<Object> places =
                view.engines().values().stream()
                        .filter(book -> book.has(model.model()))
                        .map(EngineBook::dataCentre)
                        .collect(Collectors.toSet());
        return view.engines().entrySet().stream()
                .filter(engine -> engine.getValue().idle())
                .filter(engine -> engine.getValue().successor().isEmpty())
                .filter(engine -> !engine.getValue().has(model.model()))
                .filter(engine -> storeAllows || atHand(engine.getValue(), model.model()))
                .flatMap(
                        engine -> {
                            EngineBook book = engine.getValue();
                            boolean newPlace = !places.contains(book.dataCentre());
                            double worth =
                                    gain
                                            * speed(book, model.model())
                                            * room(view, copies, book)
                                            * (newPlace ? NEW_DATA_CENTRE : 1);
                            return move(view, copies, engine.getKey(), book, model, worth).stream();
                        });
    }

    /** How much of a further copy's work the engine has room for beside its other models. */
    private static double room(View view, Map<ModelId, Integer> copies, EngineBook book) {
        double load =
                book.held().keySet().stream()
                        .mapToDouble(
                                model ->
                                        view.quick().getOrDefault(model, 0.0)
                                                / copies.getOrDefault(model, 1))
                        .sum();
        double fullness = book.fullness(view.specification().slots());
        return Math.max(LEAST_ROOM, 1 - Math.max(load / ENGINE_RATE, fullness));
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
                .filter(held -> view.waiting().getOrDefault(held, 0) == 0)
                .filter(held -> book.heldMillis(held, view.nowMillis()) >= SETTLING_MILLIS)
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
