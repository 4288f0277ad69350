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
 * Selects the next adapter to load or unload. An adapter loads in milliseconds, but a request for
 * an adapter that no engine holds also waits until the load order is issued. Every adapter of the
 * requested models is therefore placed before it is requested, and the remaining adapter slots hold
 * further replicas.
 */
public final class AdapterPlanner {
    /** Value that each waiting request adds to an adapter, in requests per second. */
    private static final double VALUE_PER_WAITING_REQUEST = 10;

    /**
     * Value of an adapter without recent requests, in requests per second. It may be requested
     * next.
     */
    private static final double UNREQUESTED_VALUE = 0.01;

    /**
     * Value above which a move serves current requests. Further replicas and adapters without
     * requests are worth less.
     */
    private static final double URGENT_VALUE = 0.05;

    /** Factor by which the value of an adapter has to exceed that of the adapter it displaces. */
    private static final double HYSTERESIS_FACTOR = 2;

    /** Number of replicas of an adapter from which on no further replica is loaded. */
    private static final int MAX_REPLICAS = 3;

    /**
     * Time that an adapter stays loaded at least, so that the requests that waited for it can use
     * it: daemons learn of a load up to one second after it. Without this minimum, adapters would
     * displace each other without serving a request whenever more adapters are requested than an
     * engine has slots.
     */
    private static final long MIN_RESIDENCE_MILLIS = 1_500;

    private AdapterPlanner() {}

    /**
     * Holds the inputs of one planning pass.
     *
     * @param specification what engines can hold
     * @param engines the engines that accept new requests, with their tracked state
     * @param requestedModels the models with recent requests
     * @param rate returns the requests per second for an adapter
     * @param waiting number of requests that wait for an adapter
     * @param waitingOnly whether to place only adapters that requests wait for
     * @param nowMillis the monotonic time in milliseconds
     */
    public record View(
            EngineSpecification specification,
            Map<TargetIncarnation, EngineTracker> engines,
            Set<ModelId> requestedModels,
            ToDoubleFunction<ModelNeed> rate,
            Map<ModelNeed, Integer> waiting,
            boolean waitingOnly,
            long nowMillis) {}

    /**
     * Describes an order and its value.
     *
     * @param order the order
     * @param value the requests per second that it serves
     */
    public record Move(PlacementOrder order, double value) {

        /**
         * Returns whether the move serves current requests. Such a move takes precedence over a
         * load of model weights, during which the engine accepts no other order for seconds.
         *
         * @return true when the adapter is requested now
         */
        public boolean isUrgent() {
            return value > URGENT_VALUE;
        }
    }

    /**
     * Selects the move of the highest value.
     *
     * @param view the inputs of this pass
     * @return the move; empty when no move is worthwhile
     */
    public static Optional<Move> next(View view) {
        Map<ModelNeed, Long> replicaCounts = replicaCounts(view);
        List<EngineCandidate> candidates =
                view.engines().entrySet().stream()
                        .filter(engine -> engine.getValue().idle())
                        .map(
                                engine ->
                                        candidate(
                                                view,
                                                replicaCounts,
                                                engine.getKey(),
                                                engine.getValue()))
                        .collect(Collectors.toList());
        return candidateNeeds(view)
                .flatMap(need -> moves(view, replicaCounts, candidates, need))
                .max(Comparator.comparingDouble(Move::value));
    }

    private static Map<ModelNeed, Long> replicaCounts(View view) {
        return view.engines().values().stream()
                .flatMap(AdapterPlanner::adapters)
                .collect(Collectors.groupingBy(need -> need, Collectors.counting()));
    }

    private static Stream<ModelNeed> adapters(EngineTracker tracker) {
        return tracker.held().entrySet().stream()
                .flatMap(
                        held ->
                                held.getValue().stream()
                                        .map(
                                                adapter ->
                                                        new ModelNeed(
                                                                held.getKey(),
                                                                Optional.of(adapter))));
    }

    /** An engine that accepts orders, with the adapter there whose unloading costs the least. */
    private record EngineCandidate(
            TargetIncarnation engine,
            EngineTracker tracker,
            int freeAdapterSlots,
            double freeMegabytes,
            Optional<ModelNeed> victim,
            double loss) {}

    private static EngineCandidate candidate(
            View view,
            Map<ModelNeed, Long> replicaCounts,
            TargetIncarnation engine,
            EngineTracker tracker) {
        Optional<ModelNeed> victim =
                adapters(tracker)
                        .filter(need -> isEvictable(view, tracker, need))
                        .min(
                                Comparator.comparingDouble(
                                        need -> retentionValue(view, replicaCounts, need)));
        int used = tracker.held().values().stream().mapToInt(Collection::size).sum();
        return new EngineCandidate(
                engine,
                tracker,
                view.specification().adapterSlots() - used,
                view.specification().megabytes()
                        - ReplicaPlanner.usedMegabytes(view.specification(), tracker),
                victim,
                victim.map(need -> retentionValue(view, replicaCounts, need)).orElse(0.0));
    }

    private static boolean isEvictable(View view, EngineTracker tracker, ModelNeed need) {
        return tracker.adapterHeldMillis(need, view.nowMillis()) >= MIN_RESIDENCE_MILLIS;
    }

    private static Stream<ModelNeed> candidateNeeds(View view) {
        return view.specification().models().values().stream()
                .filter(model -> view.requestedModels().contains(model.model()))
                .flatMap(
                        model ->
                                model.adapters().stream()
                                        .map(
                                                adapter ->
                                                        new ModelNeed(
                                                                model.model(),
                                                                Optional.of(adapter))))
                .filter(need -> !view.waitingOnly() || view.waiting().containsKey(need));
    }

    private static boolean lacksAdapter(EngineTracker tracker, ModelNeed need) {
        Set<AdapterId> adapters = tracker.held().get(need.model());
        return adapters != null && !adapters.contains(need.adapter().orElseThrow());
    }

    private static Stream<Move> moves(
            View view,
            Map<ModelNeed, Long> replicaCounts,
            List<EngineCandidate> candidates,
            ModelNeed need) {
        long replicas = replicaCounts.getOrDefault(need, 0L);
        if (replicas >= MAX_REPLICAS) {
            return Stream.empty();
        }
        double waitingValue = replicas == 0 ? waitingValue(view, need) : 0;
        double value =
                (requestValue(view, need) + waitingValue) / ((replicas + 1) * (replicas + 1));
        return candidates.stream()
                .filter(candidate -> lacksAdapter(candidate.tracker(), need))
                .flatMap(candidate -> move(view, candidate, need, value).stream());
    }

    private static double waitingValue(View view, ModelNeed need) {
        return view.waiting().getOrDefault(need, 0) * VALUE_PER_WAITING_REQUEST;
    }

    private static double requestValue(View view, ModelNeed need) {
        return UNREQUESTED_VALUE + view.rate().applyAsDouble(need);
    }

    private static Optional<Move> move(
            View view, EngineCandidate candidate, ModelNeed need, double value) {
        if (candidate.freeAdapterSlots() > 0
                && megabytes(view, need) <= candidate.freeMegabytes()) {
            // Prefers engines with more free adapter slots, which keeps the number of adapters per
            // engine even.
            double spreadBonus = candidate.freeAdapterSlots() * UNREQUESTED_VALUE / 1_000;
            return Optional.of(
                    new Move(
                            new PlacementOrder(
                                    candidate.engine(), true, need.model(), need.adapter()),
                            value + spreadBonus));
        }
        return candidate
                .victim()
                .filter(victim -> value > HYSTERESIS_FACTOR * candidate.loss())
                .map(
                        victim ->
                                new Move(
                                        new PlacementOrder(
                                                candidate.engine(),
                                                false,
                                                victim.model(),
                                                victim.adapter()),
                                        value - HYSTERESIS_FACTOR * candidate.loss()));
    }

    private static double megabytes(View view, ModelNeed need) {
        return view.specification()
                .model(need.model())
                .map(ModelSpecification::adapterMegabytes)
                .orElse(view.specification().megabytes());
    }

    private static double retentionValue(
            View view, Map<ModelNeed, Long> replicaCounts, ModelNeed need) {
        long replicas = replicaCounts.get(need);
        double waitingValue = replicas == 1 ? waitingValue(view, need) : 0;
        return (requestValue(view, need) + waitingValue) / (replicas * replicas);
    }
}
