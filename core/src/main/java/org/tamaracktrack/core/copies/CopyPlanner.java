package org.tamaracktrack.core.copies;

import java.util.ArrayList;
import java.util.Comparator;
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
    /** Engines that load from the weight store at once: they take no adapters for that long. */
    private static final double MOST_LOADING_SHARE = 0.5;

    /**
     * The part of the engines that load models from the weight store at once for requests that can
     * wait. Such models are many and each is asked for rarely; without a bound they take all
     * engines for as long as a load lasts, and demand that moves to other models waits behind them.
     */
    private static final double MOST_PATIENT_LOADING_SHARE = 0.15;

    /** A copy is not unloaded before the requests that wanted it had time to use it. */
    private static final long SETTLING_MILLIS = 1_500;

    /**
     * A move has to be worth this many times what it displaces, so that moves do not undo others.
     */
    private static final double HYSTERESIS = 1.5;

    /** A move that gains less is not worth its load and the pause that it causes. */
    private static final double LEAST_GAIN = 0.15;

    /**
     * What it costs to move a model's only copy to an engine with free room before its place is
     * taken: an order and a load more. Counted as the loss of an only copy, rarely asked models
     * would keep the busiest ones off their engines.
     */
    private static final double RELOCATION_LOSS = 0.3;

    /** Engines looked at for a relocation; the one with the most room is nearly always enough. */
    private static final int MOST_RELOCATION_TARGETS = 3;

    /**
     * For about this long demand stays where it is. A copy that takes part of it to load is worth
     * that part less.
     */
    private static final double HORIZON_MILLIS = 20_000;

    /** What is left at least, for models that take longer than that. */
    private static final double LEAST_SPEED = 0.1;

    /** A first copy in a data centre saves bytes between data centres. */
    private static final double NEW_DATA_CENTRE = 1.25;

    /** What is left of a copy's worth on an engine whose places for requests are all taken. */
    private static final double LEAST_IDLE = 0.2;

    private CopyPlanner() {}

    /**
     * What the planner sees.
     *
     * @param specification what engines can hold
     * @param engines the engines that take work
     * @param quick requests a second by model, of the last seconds
     * @param expected requests a second by model that are to be expected
     * @param waiting requests that wait for a first copy, by model
     * @param askedBy what kind of requests have asked for a model
     * @param settled whether demand has been seen for long enough to tell what is not asked for
     * @param storeAllows whether a load from the weight store may begin
     * @param busyRate requests a second at which an engine answers seven of ten in time
     * @param nowMillis the monotonic time
     */
    public record View(
            EngineSpecification specification,
            Map<TargetIncarnation, EngineBook> engines,
            Map<ModelId, Double> quick,
            Map<ModelId, Double> expected,
            Map<ModelId, Integer> waiting,
            Function<ModelId, AskedBy> askedBy,
            boolean settled,
            boolean storeAllows,
            double busyRate,
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

    /**
     * Returns the load that room was made for, or the next unload for it. Takes a small part of the
     * time of {@link #next}.
     *
     * @param view what is known
     * @return the move; empty when nothing is begun that can go on now
     */
    public static Optional<Move> begun(View view) {
        return view.engines().entrySet().stream()
                .filter(engine -> engine.getValue().successorMayFollow(view.nowMillis()))
                .flatMap(engine -> begun(view, engine).stream())
                .findFirst();
    }

    private static Optional<Move> begun(
            View view, Map.Entry<TargetIncarnation, EngineBook> engine) {
        EngineBook book = engine.getValue();
        return book.successor()
                .flatMap(view.specification()::model)
                .filter(model -> !book.held().containsKey(model.model()))
                .filter(model -> view.storeAllows() || atHand(book, model.model()))
                .flatMap(model -> begun(view, engine, model));
    }

    private static Optional<Move> begun(
            View view, Map.Entry<TargetIncarnation, EngineBook> engine, ModelSpecification model) {
        EngineBook book = engine.getValue();
        if (fits(view.specification(), book, model)) {
            return Optional.of(new Move(engine.getKey(), model.model(), Optional.empty(), 0));
        }
        if (!book.idle()) {
            return Optional.empty();
        }
        CopyWorth worth = CopyWorth.of(view, CopyCounts.of(view.engines()).copies());
        return room(candidate(view, worth, Relocations.none(view), engine), model)
                .flatMap(Room::first)
                .map(victim -> new Move(engine.getKey(), model.model(), Optional.of(victim), 0));
    }

    // All that does not depend on the pair of engine and model is worked out once, and pairs that
    // can't gain enough are left out before their requests are spread: a pass has to be cheap on
    // hosts with a part of a core.
    private static Optional<Move> best(View view) {
        CopyCounts counts = CopyCounts.of(view.engines());
        CopyWorth worth = CopyWorth.of(view, counts.copies());
        Relocations relocations = Relocations.of(view);
        List<Candidate> candidates =
                view.engines().entrySet().stream()
                        .filter(engine -> mayTake(engine.getValue()))
                        .map(engine -> candidate(view, worth, relocations, engine))
                        .collect(Collectors.toList());
        if (candidates.isEmpty()) {
            return Optional.empty();
        }
        long loading = view.engines().values().stream().filter(EngineBook::loading).count();
        boolean storeAllows =
                view.storeAllows() && loading < MOST_LOADING_SHARE * view.engines().size();
        boolean patientToo =
                patientLoading(view) < MOST_PATIENT_LOADING_SHARE * view.engines().size();
        return view.specification().models().values().stream()
                .flatMap(
                        model ->
                                moves(
                                        view,
                                        counts,
                                        worth,
                                        candidates,
                                        storeAllows && (patientToo || urgent(view, model.model())),
                                        model))
                .max(Comparator.comparingDouble(Move::worth));
    }

    private static boolean urgent(View view, ModelId model) {
        return view.askedBy().apply(model) == AskedBy.URGENT;
    }

    private static long patientLoading(View view) {
        return view.engines().values().stream()
                .flatMap(book -> book.coming().stream())
                .filter(model -> !urgent(view, model))
                .count();
    }

    /** An engine that can take an order, and its copies that may go, least missed first. */
    private record Candidate(
            TargetIncarnation engine,
            EngineBook book,
            double freeMegabytes,
            double idleShare,
            List<Victim> victims) {

        /** The least that can be lost to make room for a model. */
        double leastLoss(ModelSpecification model) {
            return model.megabytes() <= freeMegabytes || victims.isEmpty()
                    ? 0
                    : victims.get(0).loss();
        }
    }

    /**
     * A copy that may be unloaded.
     *
     * @param model the model
     * @param megabytes the room that it leaves
     * @param loss what is lost with it
     * @param share requests a second that it takes off others
     * @param relocation where the model's only copy can go first
     */
    private record Victim(
            ModelId model,
            double megabytes,
            double loss,
            double share,
            Optional<TargetIncarnation> relocation) {}

    /** The copies that make room for another, and what is lost with them in all. */
    private record Room(List<Victim> victims, double loss, double freed) {

        Optional<ModelId> first() {
            return victims.stream().map(Victim::model).findFirst();
        }

        /** A model that goes to another engine before anything else. */
        Optional<Victim> toRelocate() {
            return victims.stream().filter(victim -> victim.relocation().isPresent()).findFirst();
        }
    }

    private static Candidate candidate(
            View view,
            CopyWorth worth,
            Relocations relocations,
            Map.Entry<TargetIncarnation, EngineBook> engine) {
        EngineBook book = engine.getValue();
        List<Victim> victims =
                book.held().entrySet().stream()
                        .filter(held -> mayGo(view, book, held.getKey()))
                        .map(held -> victim(view, worth, relocations, engine.getKey(), held))
                        .sorted(Comparator.comparingDouble(Victim::loss))
                        .collect(Collectors.toList());
        return new Candidate(
                engine.getKey(),
                book,
                free(view, book),
                Math.max(LEAST_IDLE, 1 - book.fullness(view.specification().slots())),
                victims);
    }

    private static Victim victim(
            View view,
            CopyWorth worth,
            Relocations relocations,
            TargetIncarnation engine,
            Map.Entry<ModelId, Set<AdapterId>> held) {
        double megabytes = megabytes(view.specification(), held);
        Optional<TargetIncarnation> relocation =
                worth.onlyCopy(held.getKey())
                        ? relocations.of(held.getKey(), engine, megabytes)
                        : Optional.empty();
        double loss = relocation.isPresent() ? RELOCATION_LOSS : worth.loss(held.getKey(), engine);
        return new Victim(
                held.getKey(), megabytes, loss, worth.share(held.getKey(), engine), relocation);
    }

    /** The engines with the most free room, of those that can take an order. */
    private record Relocations(View view, List<Map.Entry<TargetIncarnation, Double>> mostFirst) {

        static Relocations none(View view) {
            return new Relocations(view, List.of());
        }

        static Relocations of(View view) {
            return new Relocations(
                    view,
                    view.engines().entrySet().stream()
                            .filter(engine -> mayTake(engine.getValue()))
                            .map(
                                    engine ->
                                            Map.entry(
                                                    engine.getKey(), free(view, engine.getValue())))
                            .sorted(
                                    Map.Entry.<TargetIncarnation, Double>comparingByValue()
                                            .reversed())
                            .collect(Collectors.toList()));
        }

        Optional<TargetIncarnation> of(ModelId model, TargetIncarnation engine, double megabytes) {
            return mostFirst.stream()
                    .limit(MOST_RELOCATION_TARGETS)
                    .filter(other -> !other.getKey().equals(engine))
                    .filter(other -> other.getValue() >= megabytes)
                    .map(Map.Entry::getKey)
                    .filter(other -> mayLoad(view, other, model))
                    .findFirst();
        }

        private static boolean mayLoad(View view, TargetIncarnation engine, ModelId model) {
            return view.storeAllows() || atHand(view.engines().get(engine), model);
        }
    }

    private static boolean mayTake(EngineBook book) {
        return book.idle() && book.successor().isEmpty();
    }

    private static double free(View view, EngineBook book) {
        return view.specification().megabytes() - used(view.specification(), book);
    }

    private static boolean mayGo(View view, EngineBook book, ModelId model) {
        return view.waiting().getOrDefault(model, 0) == 0
                && book.heldMillis(model, view.nowMillis()) >= SETTLING_MILLIS;
    }

    private static Stream<Move> moves(
            View view,
            CopyCounts counts,
            CopyWorth copyWorth,
            List<Candidate> candidates,
            boolean storeAllows,
            ModelSpecification model) {
        ModelId name = model.model();
        double first = copyWorth.first(name, counts.atHand().contains(name));
        double most = (first + copyWorth.mostSpread(name)) * NEW_DATA_CENTRE;
        if (most <= LEAST_GAIN) {
            return Stream.empty();
        }
        Set<DataCentreId> places = counts.places().getOrDefault(name, Set.of());
        return candidates.stream()
                .filter(candidate -> most - HYSTERESIS * candidate.leastLoss(model) > LEAST_GAIN)
                .filter(candidate -> !candidate.book().has(name))
                .filter(candidate -> storeAllows || atHand(candidate.book(), name))
                .flatMap(
                        candidate ->
                                room(candidate, model)
                                        .filter(
                                                room ->
                                                        most - HYSTERESIS * room.loss()
                                                                > LEAST_GAIN)
                                        .map(
                                                room ->
                                                        move(
                                                                candidate, model, room, copyWorth,
                                                                first, places))
                                        .stream())
                .filter(move -> move.worth() > LEAST_GAIN);
    }

    private static Move move(
            Candidate candidate,
            ModelSpecification model,
            Room room,
            CopyWorth copyWorth,
            double first,
            Set<DataCentreId> places) {
        boolean newPlace = !places.contains(candidate.book().dataCentre());
        double gain =
                (first + copyWorth.spread(model.model(), candidate.engine(), room.freed()))
                        * speed(candidate.book(), model)
                        * candidate.idleShare()
                        * (newPlace ? NEW_DATA_CENTRE : 1);
        double worth = gain - HYSTERESIS * room.loss();
        return room.toRelocate()
                .map(
                        victim ->
                                new Move(
                                        victim.relocation().orElseThrow(),
                                        victim.model(),
                                        Optional.empty(),
                                        worth))
                .orElseGet(() -> new Move(candidate.engine(), model.model(), room.first(), worth));
    }

    private static boolean atHand(EngineBook book, ModelId model) {
        return book.inMemory(model) || book.onDisk(model);
    }

    private static double speed(EngineBook book, ModelSpecification model) {
        return Math.max(LEAST_SPEED, 1 - loadMillis(book, model) / HORIZON_MILLIS);
    }

    private static double loadMillis(EngineBook book, ModelSpecification model) {
        if (book.inMemory(model.model())) {
            return model.memoryMillis();
        }
        return book.onDisk(model.model()) ? model.diskMillis() : model.storeMillis();
    }

    // Models differ in size, so one may take the room of several.
    private static Optional<Room> room(Candidate candidate, ModelSpecification model) {
        double missing = model.megabytes() - candidate.freeMegabytes();
        List<Victim> taken = new ArrayList<>();
        for (Victim victim : candidate.victims()) {
            if (missing <= 0) {
                break;
            }
            missing -= victim.megabytes();
            taken.add(victim);
        }
        if (missing > 0) {
            return Optional.empty();
        }
        double lost = taken.stream().mapToDouble(Victim::loss).sum();
        double freed = taken.stream().mapToDouble(Victim::share).sum();
        return Optional.of(new Room(taken, lost, freed));
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
