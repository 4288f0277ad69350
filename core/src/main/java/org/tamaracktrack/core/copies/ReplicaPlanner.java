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
 * Selects the next move of a model: loads the replica that takes the most load off the others, in
 * place of the replica whose loss costs the least. This follows demand that moves to other models
 * within seconds, and keeps rarely requested models where they can be loaded quickly.
 */
public final class ReplicaPlanner {
    /**
     * Maximum share of engines that load from the weight store at the same time. An engine accepts
     * no adapter orders during such a load.
     */
    private static final double MAX_LOADING_SHARE = 0.5;

    /**
     * Maximum share of engines that load models from the weight store at the same time for requests
     * that can wait. There are many such models, each rarely requested. Without this limit they
     * occupy all engines for the duration of a load, and demand that moves to other models has to
     * wait.
     */
    private static final double MAX_PATIENT_LOADING_SHARE = 0.15;

    /**
     * Time that a replica stays loaded at least, so that the requests that waited for it can use
     * it.
     */
    private static final long MIN_RESIDENCE_MILLIS = 1_500;

    /**
     * Factor by which the value of a move has to exceed that of what it displaces, so that moves do
     * not undo each other.
     */
    private static final double HYSTERESIS_FACTOR = 1.5;

    /**
     * Minimum gain of a move. A smaller gain does not justify the load and the pause that it
     * causes.
     */
    private static final double MIN_GAIN = 0.15;

    /**
     * Cost of moving a model's only replica to an engine with free memory before its memory is
     * reused: one more order and one more load. If this were counted as the loss of an only
     * replica, rarely requested models would keep the busiest models off their engines.
     */
    private static final double RELOCATION_LOSS = 0.3;

    /**
     * Maximum number of engines considered for a relocation. The engine with the most free memory
     * nearly always suffices.
     */
    private static final int MAX_RELOCATION_TARGETS = 3;

    /**
     * Approximate time for which demand stays on the same models. The value of a replica is reduced
     * by the part of this time that its load takes.
     */
    private static final double DEMAND_HORIZON_MILLIS = 20_000;

    /** Minimum factor for the load time, for models whose load takes longer than the horizon. */
    private static final double MIN_LOAD_TIME_FACTOR = 0.1;

    /** Factor for the first replica in a data centre, which saves traffic between data centres. */
    private static final double NEW_DATA_CENTRE_FACTOR = 1.25;

    /**
     * Minimum factor for the idle share of an engine, for engines whose request slots are all in
     * use.
     */
    private static final double MIN_IDLE_SHARE = 0.2;

    /**
     * Rate from which a model counts as used by urgent requests. The short-term average falls to
     * this value 7.5 s after a single request.
     */
    private static final double MIN_URGENT_RATE = 0.02;

    private ReplicaPlanner() {}

    /**
     * Holds the inputs of one planning pass.
     *
     * @param specification what engines can hold
     * @param engines the engines that accept new requests, with their tracked state
     * @param shortTermRates requests per second by model, over the last seconds
     * @param expectedRates expected requests per second by model
     * @param waiting number of requests that wait for a first replica, by model
     * @param demandUrgency returns the urgency of the requests that a model has received
     * @param demandSettled whether demand has been observed for long enough to identify unrequested
     *     models
     * @param storeLoadAllowed whether a load from the weight store may begin
     * @param saturationRate requests per second at which an engine of usual speed answers 70 % in
     *     time
     * @param workFactors the long-run mean of the factor by which work takes longer than usual, by
     *     engine; 1 when absent
     * @param admissionControl whether patient requests give way to urgent ones
     * @param urgentRates urgent requests per second by model, over the last seconds
     * @param nowMillis the monotonic time in milliseconds
     */
    public record View(
            EngineSpecification specification,
            Map<TargetIncarnation, EngineTracker> engines,
            Map<ModelId, Double> shortTermRates,
            Map<ModelId, Double> expectedRates,
            Map<ModelId, Integer> waiting,
            Function<ModelId, DemandUrgency> demandUrgency,
            boolean demandSettled,
            boolean storeLoadAllowed,
            double saturationRate,
            Map<TargetIncarnation, Double> workFactors,
            boolean admissionControl,
            Map<ModelId, Double> urgentRates,
            long nowMillis) {

        /** Copies the factors. */
        public View {
            workFactors = Map.copyOf(workFactors);
        }

        /** Returns whether urgent requests of the last seconds use a model. */
        boolean isUsedUrgently(ModelId model) {
            return urgentRates.getOrDefault(model, 0.0) >= MIN_URGENT_RATE;
        }
    }

    /**
     * Describes the load of a model.
     *
     * @param engine the engine that loads it
     * @param model the model
     * @param victim the model that has to be unloaded first; empty when the model fits
     * @param value the gain of the move, by which moves are compared
     */
    public record Move(
            TargetIncarnation engine, ModelId model, Optional<ModelId> victim, double value) {

        /**
         * Returns the order that begins the move.
         *
         * @return an unload when memory has to be freed, otherwise a load
         */
        public PlacementOrder order() {
            return new PlacementOrder(
                    engine, victim.isEmpty(), victim.orElse(model), Optional.empty());
        }
    }

    /**
     * Selects a move. A move that was started takes precedence.
     *
     * @param view the inputs of this pass
     * @return the move; empty when none is worthwhile
     */
    public static Optional<Move> next(View view) {
        return startedMove(view).or(() -> bestMove(view));
    }

    /**
     * Returns the next step of a move that was started: the load that memory was reserved for, or
     * the next unload that it needs. Takes a small fraction of the time of {@link #next}.
     *
     * @param view the inputs of this pass
     * @return the move; empty when no started move can continue now
     */
    public static Optional<Move> startedMove(View view) {
        return view.engines().entrySet().stream()
                .filter(engine -> engine.getValue().mayTryReservedLoad(view.nowMillis()))
                .flatMap(engine -> startedMove(view, engine).stream())
                .findFirst();
    }

    private static Optional<Move> startedMove(
            View view, Map.Entry<TargetIncarnation, EngineTracker> engine) {
        EngineTracker tracker = engine.getValue();
        return tracker.reservedModel()
                .flatMap(view.specification()::model)
                .filter(model -> !tracker.held().containsKey(model.model()))
                .filter(
                        model ->
                                view.storeLoadAllowed()
                                        || isLocallyAvailable(tracker, model.model()))
                .flatMap(model -> startedMove(view, engine, model));
    }

    private static Optional<Move> startedMove(
            View view,
            Map.Entry<TargetIncarnation, EngineTracker> engine,
            ModelSpecification model) {
        EngineTracker tracker = engine.getValue();
        if (fits(view.specification(), tracker, model)) {
            return Optional.of(new Move(engine.getKey(), model.model(), Optional.empty(), 0));
        }
        if (!tracker.idle()) {
            return Optional.empty();
        }
        ReplicaValue replicaValue =
                ReplicaValue.of(view, ReplicaIndex.of(view.engines()).replicas());
        return evictionsFor(
                        view, candidate(view, replicaValue, Relocations.none(view), engine), model)
                .flatMap(Evictions::firstModel)
                .map(victim -> new Move(engine.getKey(), model.model(), Optional.of(victim), 0));
    }

    // Values that do not depend on the pair of engine and model are computed once, and pairs that
    // cannot gain enough are skipped before their requests are distributed. A pass has to be cheap
    // on hosts with a fraction of a core.
    private static Optional<Move> bestMove(View view) {
        ReplicaIndex replicaIndex = ReplicaIndex.of(view.engines());
        ReplicaValue replicaValue = ReplicaValue.of(view, replicaIndex.replicas());
        Relocations relocations = Relocations.of(view);
        List<EngineCandidate> candidates =
                view.engines().entrySet().stream()
                        .filter(engine -> acceptsOrders(engine.getValue()))
                        .map(engine -> candidate(view, replicaValue, relocations, engine))
                        .collect(Collectors.toList());
        if (candidates.isEmpty()) {
            return Optional.empty();
        }
        long loading = view.engines().values().stream().filter(EngineTracker::loading).count();
        boolean storeLoadAllowed =
                view.storeLoadAllowed() && loading < MAX_LOADING_SHARE * view.engines().size();
        boolean patientLoadsAllowed =
                patientLoadCount(view) < MAX_PATIENT_LOADING_SHARE * view.engines().size();
        return view.specification().models().values().stream()
                .flatMap(
                        model ->
                                moves(
                                        view,
                                        replicaIndex,
                                        replicaValue,
                                        candidates,
                                        storeLoadAllowed
                                                && (patientLoadsAllowed
                                                        || isUrgent(view, model.model())),
                                        model))
                .max(Comparator.comparingDouble(Move::value));
    }

    private static boolean isUrgent(View view, ModelId model) {
        return view.demandUrgency().apply(model) == DemandUrgency.URGENT;
    }

    private static long patientLoadCount(View view) {
        return view.engines().values().stream()
                .flatMap(tracker -> tracker.incomingModel().stream())
                .filter(model -> !isUrgent(view, model))
                .count();
    }

    /** An engine that accepts orders, with its replicas that may be unloaded, lowest loss first. */
    private record EngineCandidate(
            TargetIncarnation engine,
            EngineTracker tracker,
            double freeMegabytes,
            double idleShare,
            List<Victim> victims) {

        /** Returns the minimum loss of freeing the memory for a model. */
        double minLoss(ModelSpecification model) {
            return model.megabytes() <= freeMegabytes || victims.isEmpty()
                    ? 0
                    : victims.get(0).loss();
        }
    }

    /**
     * A replica that may be unloaded.
     *
     * @param model the model
     * @param megabytes the memory that it frees
     * @param loss the loss when it is unloaded, in requests per second
     * @param share the requests per second that it serves
     * @param neededUrgently whether urgent requests use it that other replicas can't take
     * @param relocation the engine to which the model's only replica can move first
     */
    private record Victim(
            ModelId model,
            double megabytes,
            double loss,
            double share,
            boolean neededUrgently,
            Optional<TargetIncarnation> relocation) {}

    /**
     * The replicas to unload for a load, with their total loss and the total rate that they serve.
     */
    private record Evictions(List<Victim> victims, double loss, double freed) {

        Optional<ModelId> firstModel() {
            return victims.stream().map(Victim::model).findFirst();
        }

        /** Returns the first replica that has to move to another engine before the unload. */
        Optional<Victim> toRelocate() {
            return victims.stream().filter(victim -> victim.relocation().isPresent()).findFirst();
        }
    }

    private static EngineCandidate candidate(
            View view,
            ReplicaValue replicaValue,
            Relocations relocations,
            Map.Entry<TargetIncarnation, EngineTracker> engine) {
        EngineTracker tracker = engine.getValue();
        List<Victim> victims =
                tracker.held().entrySet().stream()
                        .filter(held -> isEvictable(view, tracker, held.getKey()))
                        .map(held -> victim(view, replicaValue, relocations, engine.getKey(), held))
                        .sorted(Comparator.comparingDouble(Victim::loss))
                        .collect(Collectors.toList());
        return new EngineCandidate(
                engine.getKey(),
                tracker,
                freeMegabytes(view, tracker),
                Math.max(MIN_IDLE_SHARE, 1 - tracker.utilization(view.specification().slots())),
                victims);
    }

    private static Victim victim(
            View view,
            ReplicaValue replicaValue,
            Relocations relocations,
            TargetIncarnation engine,
            Map.Entry<ModelId, Set<AdapterId>> held) {
        double megabytes = megabytes(view.specification(), held);
        Optional<TargetIncarnation> relocation =
                replicaValue.isOnlyReplica(held.getKey())
                        ? relocations.of(held.getKey(), engine, megabytes)
                        : Optional.empty();
        double loss =
                relocation.isPresent() ? RELOCATION_LOSS : replicaValue.loss(held.getKey(), engine);
        return new Victim(
                held.getKey(),
                megabytes,
                loss,
                replicaValue.share(held.getKey(), engine),
                replicaValue.isNeededUrgently(held.getKey(), engine),
                relocation);
    }

    /** The engines that accept orders, the one with the most free memory first. */
    private record Relocations(View view, List<Map.Entry<TargetIncarnation, Double>> byFreeMemory) {

        static Relocations none(View view) {
            return new Relocations(view, List.of());
        }

        static Relocations of(View view) {
            return new Relocations(
                    view,
                    view.engines().entrySet().stream()
                            .filter(engine -> acceptsOrders(engine.getValue()))
                            .map(
                                    engine ->
                                            Map.entry(
                                                    engine.getKey(),
                                                    freeMegabytes(view, engine.getValue())))
                            .sorted(
                                    Map.Entry.<TargetIncarnation, Double>comparingByValue()
                                            .reversed())
                            .collect(Collectors.toList()));
        }

        Optional<TargetIncarnation> of(ModelId model, TargetIncarnation engine, double megabytes) {
            return byFreeMemory.stream()
                    .limit(MAX_RELOCATION_TARGETS)
                    .filter(other -> !other.getKey().equals(engine))
                    .filter(other -> other.getValue() >= megabytes)
                    .map(Map.Entry::getKey)
                    .filter(other -> mayLoad(view, other, model))
                    .findFirst();
        }

        private static boolean mayLoad(View view, TargetIncarnation engine, ModelId model) {
            return view.storeLoadAllowed() || isLocallyAvailable(view.engines().get(engine), model);
        }
    }

    private static boolean acceptsOrders(EngineTracker tracker) {
        return tracker.idle() && tracker.reservedModel().isEmpty();
    }

    private static double freeMegabytes(View view, EngineTracker tracker) {
        return view.specification().megabytes() - usedMegabytes(view.specification(), tracker);
    }

    private static boolean isEvictable(View view, EngineTracker tracker, ModelId model) {
        return view.waiting().getOrDefault(model, 0) == 0
                && tracker.heldMillis(model, view.nowMillis()) >= MIN_RESIDENCE_MILLIS;
    }

    private static Stream<Move> moves(
            View view,
            ReplicaIndex replicaIndex,
            ReplicaValue replicaValue,
            List<EngineCandidate> candidates,
            boolean storeLoadAllowed,
            ModelSpecification model) {
        ModelId modelId = model.model();
        double firstReplicaValue =
                replicaValue.firstReplicaValue(
                        modelId, replicaIndex.locallyAvailable().contains(modelId));
        double maxValue =
                (firstReplicaValue + replicaValue.maxSpreadGain(modelId)) * NEW_DATA_CENTRE_FACTOR;
        if (maxValue <= MIN_GAIN) {
            return Stream.empty();
        }
        Set<DataCentreId> dataCentres = replicaIndex.dataCentres().getOrDefault(modelId, Set.of());
        return candidates.stream()
                .filter(
                        candidate ->
                                maxValue - HYSTERESIS_FACTOR * candidate.minLoss(model) > MIN_GAIN)
                .filter(candidate -> !candidate.tracker().holdsOrExpects(modelId))
                .filter(
                        candidate ->
                                storeLoadAllowed
                                        || isLocallyAvailable(candidate.tracker(), modelId))
                .flatMap(
                        candidate ->
                                evictionsFor(view, candidate, model)
                                        .filter(
                                                evictions ->
                                                        maxValue
                                                                        - HYSTERESIS_FACTOR
                                                                                * evictions.loss()
                                                                > MIN_GAIN)
                                        .map(
                                                evictions ->
                                                        move(
                                                                candidate,
                                                                model,
                                                                evictions,
                                                                replicaValue,
                                                                firstReplicaValue,
                                                                dataCentres))
                                        .stream())
                .filter(move -> move.value() > MIN_GAIN);
    }

    private static Move move(
            EngineCandidate candidate,
            ModelSpecification model,
            Evictions evictions,
            ReplicaValue replicaValue,
            double firstReplicaValue,
            Set<DataCentreId> dataCentres) {
        boolean newDataCentre = !dataCentres.contains(candidate.tracker().dataCentre());
        double gain =
                (firstReplicaValue
                                + replicaValue.spreadGain(
                                        model.model(), candidate.engine(), evictions.freed()))
                        * loadTimeFactor(candidate.tracker(), model)
                        * candidate.idleShare()
                        * (newDataCentre ? NEW_DATA_CENTRE_FACTOR : 1);
        double value = gain - HYSTERESIS_FACTOR * evictions.loss();
        return evictions
                .toRelocate()
                .map(
                        victim ->
                                new Move(
                                        victim.relocation().orElseThrow(),
                                        victim.model(),
                                        Optional.empty(),
                                        value))
                .orElseGet(
                        () ->
                                new Move(
                                        candidate.engine(),
                                        model.model(),
                                        evictions.firstModel(),
                                        value));
    }

    private static boolean isLocallyAvailable(EngineTracker tracker, ModelId model) {
        return tracker.inMemory(model) || tracker.onDisk(model);
    }

    private static double loadTimeFactor(EngineTracker tracker, ModelSpecification model) {
        return Math.max(
                MIN_LOAD_TIME_FACTOR, 1 - loadMillis(tracker, model) / DEMAND_HORIZON_MILLIS);
    }

    private static double loadMillis(EngineTracker tracker, ModelSpecification model) {
        if (tracker.inMemory(model.model())) {
            return model.memoryMillis();
        }
        return tracker.onDisk(model.model()) ? model.diskMillis() : model.storeMillis();
    }

    // Models differ in size, so one load may need several unloads.
    private static Optional<Evictions> evictionsFor(
            View view, EngineCandidate candidate, ModelSpecification model) {
        boolean mayTakeNeeded = view.isUsedUrgently(model.model());
        double missing = model.megabytes() - candidate.freeMegabytes();
        List<Victim> taken = new ArrayList<>();
        for (Victim victim : candidate.victims()) {
            if (missing <= 0) {
                break;
            }
            if (mayTakeNeeded || !victim.neededUrgently()) {
                missing -= victim.megabytes();
                taken.add(victim);
            }
        }
        if (missing > 0) {
            return Optional.empty();
        }
        double lost = taken.stream().mapToDouble(Victim::loss).sum();
        double freed = taken.stream().mapToDouble(Victim::share).sum();
        return Optional.of(new Evictions(taken, lost, freed));
    }

    /**
     * Returns whether an engine has memory for one more model.
     *
     * @param specification what engines can hold
     * @param tracker the tracked state of the engine
     * @param model the model
     * @return true when the weights fit beside everything that it holds or is loading
     */
    static boolean fits(
            EngineSpecification specification, EngineTracker tracker, ModelSpecification model) {
        return usedMegabytes(specification, tracker) + model.megabytes()
                <= specification.megabytes();
    }

    /**
     * Returns the accelerator memory in use by an engine's models and adapters.
     *
     * @param specification what engines can hold
     * @param tracker the tracked state of the engine
     * @return the memory in megabytes
     */
    static double usedMegabytes(EngineSpecification specification, EngineTracker tracker) {
        double held =
                tracker.held().entrySet().stream()
                        .mapToDouble(entry -> megabytes(specification, entry))
                        .sum();
        double arriving =
                tracker.loadingModel()
                        .filter(model -> !tracker.held().containsKey(model))
                        .flatMap(specification::model)
                        .map(ModelSpecification::megabytes)
                        .orElse(0.0);
        return held + arriving;
    }

    // A model that is no longer configured still occupies memory of unknown size. If it counted as
    // zero, the engine would be ordered to hold more than fits.
    private static double megabytes(
            EngineSpecification specification, Map.Entry<ModelId, Set<AdapterId>> held) {
        return specification
                .model(held.getKey())
                .map(model -> model.megabytes() + held.getValue().size() * model.adapterMegabytes())
                .orElse(specification.megabytes());
    }
}
