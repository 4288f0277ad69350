package org.tamaracktrack.core.copies;

import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.tamaracktrack.core.fleet.TargetIncarnation;
import org.tamaracktrack.core.id.AdapterId;
import org.tamaracktrack.core.id.DataCentreId;
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

    // All that does not depend on the pair of engine and model is worked out once: counted anew for
    // each pair, one pass over 36 engines and 111 models took 14 ms of processor time, ten times a
    // second, on hosts that have a quarter of a core; it takes 2.3 ms (a loop of passes, JIT warm).
    private static Optional<Move> best(View view) {
        Counts counts = Counts.of(view);
        List<Candidate> candidates =
                view.engines().entrySet().stream()
                        .filter(engine -> engine.getValue().idle())
                        .filter(engine -> engine.getValue().successor().isEmpty())
                        .map(engine -> candidate(view, counts, engine.getKey(), engine.getValue()))
                        .collect(Collectors.toList());
        if (candidates.isEmpty()) {
            return Optional.empty();
        }
        long loading = view.engines().values().stream().filter(EngineBook::loading).count();
        boolean storeAllows =
                view.storeAllows() && loading < MOST_LOADING_SHARE * view.engines().size();
        return view.specification().models().values().stream()
                .flatMap(model -> moves(view, counts, candidates, storeAllows, model))
                .max(Comparator.comparingDouble(Move::worth));
    }

    /** What all engines together hold or will hold, and have at hand. */
    private record Counts(
            Map<ModelId, Integer> copies,
            Map<ModelId, Set<DataCentreId>> places,
            Set<ModelId> atHand) {

        static Counts of(View view) {
            Counts counts = new Counts(new HashMap<>(), new HashMap<>(), new HashSet<>());
            view.engines().values().forEach(counts::count);
            return counts;
        }

        private void count(EngineBook book) {
            book.held().keySet().forEach(model -> count(book, model));
            book.coming()
                    .filter(model -> !book.held().containsKey(model))
                    .ifPresent(model -> count(book, model));
            atHand.addAll(book.atHand());
        }

        private void count(EngineBook book, ModelId model) {
            copies.merge(model, 1, Integer::sum);
            places.computeIfAbsent(model, name -> new HashSet<>()).add(book.dataCentre());
        }

        int copiesOf(ModelId model) {
            return copies.getOrDefault(model, 0);
        }
    }

    /** An engine that can take an order, and the copy that is missed least there. */
    private record Candidate(
            TargetIncarnation engine,
            EngineBook book,
            double usedMegabytes,
            double room,
            Optional<ModelId> victim,
            double loss) {}

    private static Candidate candidate(
            View view, Counts counts, TargetIncarnation engine, EngineBook book) {
        Optional<Map.Entry<ModelId, Double>> least =
                book.held().keySet().stream()
                        .filter(held -> view.waiting().getOrDefault(held, 0) == 0)
                        .filter(held -> book.heldMillis(held, view.nowMillis()) >= SETTLING_MILLIS)
                        .map(held -> Map.entry(held, loss(view, counts, held)))
                        .min(Map.Entry.comparingByValue());
        return new Candidate(
                engine,
                book,
                used(view.specification(), book),
                room(view, counts, book),
                least.map(Map.Entry::getKey),
                least.map(Map.Entry::getValue).orElse(0.0));
    }

    private static double gain(View view, Counts counts, ModelId model) {
        int count = counts.copiesOf(model);
        double rate = view.quick().getOrDefault(model, 0.0);
        if (count == 0) {
            int waits = view.waiting().getOrDefault(model, 0);
            double waiting = waits > 0 ? WAITING_WORTH + EACH_WAITING_WORTH * waits : 0;
            double share = view.askedBy().apply(model) == AskedBy.PATIENT ? PATIENT_SHARE : 1;
            // When the last engine that had a model leaves, nobody notices until it is asked for
            // and takes the longest to load; brought up in a calm moment it is within reach.
            double far = counts.atHand().contains(model) ? 0 : FAR_COPY_WORTH;
            return share * waiting + FIRST_COPY_WORTH * rate + crowding(rate) / NO_COPY + far;
        }
        return crowding(rate) / (count * (count + 1.0));
    }

    // A copy that is asked for twice as much is four times as crowded; a second copy of it takes
    // half of that away. So the few busiest models get many copies before the others get two.
    private static double crowding(double rate) {
        return rate * rate / COPY_RATE;
    }

    private static double loss(View view, Counts counts, ModelId model) {
        int count = counts.copiesOf(model);
        double quick = view.quick().getOrDefault(model, 0.0);
        if (count == 1) {
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
            View view,
            Counts counts,
            List<Candidate> candidates,
            boolean storeAllows,
            ModelSpecification model) {
        double gain = gain(view, counts, model.model());
        if (gain <= LEAST_GAIN) {
            return Stream.empty();
        }
        Set<DataCentreId> places = counts.places().getOrDefault(model.model(), Set.of());
        return candidates.stream()
                .filter(candidate -> !candidate.book().has(model.model()))
                .filter(candidate -> storeAllows || atHand(candidate.book(), model.model()))
                .flatMap(
                        candidate -> {
                            EngineBook book = candidate.book();
                            boolean newPlace = !places.contains(book.dataCentre());
                            double worth =
                                    gain
                                            * speed(book, model.model())
                                            * candidate.room()
                                            * (newPlace ? NEW_DATA_CENTRE : 1);
                            return move(view, candidate, model, worth).stream();
                        })
                .filter(move -> move.worth() > LEAST_GAIN);
    }

    /** How much of a further copy's work the engine has room for beside its other models. */
    private static double room(View view, Counts counts, EngineBook book) {
        double load =
                book.held().keySet().stream()
                        .mapToDouble(
                                model ->
                                        view.quick().getOrDefault(model, 0.0)
                                                / counts.copiesOf(model))
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
            View view, Candidate candidate, ModelSpecification model, double worth) {
        double megabytes = candidate.usedMegabytes() + model.megabytes();
        if (megabytes <= view.specification().megabytes()) {
            return Optional.of(
                    new Move(candidate.engine(), model.model(), Optional.empty(), worth));
        }
        return candidate
                .victim()
                .map(
                        victim ->
                                new Move(
                                        candidate.engine(),
                                        model.model(),
                                        Optional.of(victim),
                                        worth - HYSTERESIS * candidate.loss()));
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
