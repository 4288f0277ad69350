package org.tamaracktrack.core.routing;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.tamaracktrack.core.config.Configuration;
import org.tamaracktrack.core.id.DataCentreId;
import org.tamaracktrack.core.id.ModelId;
import org.tamaracktrack.core.id.ServiceId;
import org.tamaracktrack.core.id.TargetId;
import org.tamaracktrack.core.log.LogEntry;
import org.tamaracktrack.core.message.Message;

/**
 * Holds the state of the targets as known to one entry daemon, and returns the candidates of an
 * attempt. The state is a set of hints and may be outdated.
 */
public final class RoutingTable {
    private static final long REMOTE_ROUND_TRIP_MILLIS = 4;
    private static final double INITIAL_SERVICE_MILLIS = 500;
    private static final double SERVICE_SMOOTHING_FACTOR = 0.1;

    private final DataCentreId localDataCentre;
    private final Map<TargetId, TargetState> targets = new TreeMap<>();
    private final Map<ModelId, Set<TargetId>> residentTargets = new TreeMap<>();
    private final Map<ModelId, Set<TargetId>> loadingTargets = new TreeMap<>();
    private Map<ModelId, Set<TargetId>> plannedTargets = Map.of();

    private RoutingTable(DataCentreId localDataCentre) {
        this.localDataCentre = localDataCentre;
    }

    /**
     * Returns an empty table.
     *
     * @param localDataCentre the data centre of the daemon
     * @return the table
     */
    public static RoutingTable empty(DataCentreId localDataCentre) {
        Objects.requireNonNull(localDataCentre, "here is null");
        return new RoutingTable(localDataCentre);
    }

    private static final class TargetState {
        private Configuration.Target target;
        private Optional<Message.Load> load = Optional.empty();
        private long loadReceivedMillis;
        private int outstanding;
        private int sentSinceLoad;
        private double serviceMillis = INITIAL_SERVICE_MILLIS;

        private TargetState(Configuration.Target target) {
            this.target = target;
        }
    }

    /**
     * Applies a configuration: adds, updates, and removes targets.
     *
     * @param configuration the configuration
     */
    public void applyConfiguration(Configuration configuration) {
        Objects.requireNonNull(configuration, "configuration is null");
        Set<TargetId> removed = new TreeSet<>(targets.keySet());
        removed.removeAll(configuration.targets().keySet());
        removed.forEach(this::remove);
        configuration
                .targets()
                .forEach(
                        (id, target) ->
                                targets.computeIfAbsent(id, key -> new TargetState(target)).target =
                                        target);
    }

    private void remove(TargetId target) {
        clearLoad(target);
        targets.remove(target);
    }

    /**
     * Applies a placement plan, which replaces the former one.
     *
     * @param placements its placements
     */
    public void applyPlan(Collection<LogEntry.Placement> placements) {
        plannedTargets =
                placements.stream()
                        .collect(
                                Collectors.groupingBy(
                                        LogEntry.Placement::model,
                                        TreeMap::new,
                                        Collectors.mapping(
                                                LogEntry.Placement::target,
                                                Collectors.toCollection(TreeSet::new))));
    }

    /**
     * Records the load that a target reported. A load with a lower sequence number than the last
     * one is ignored.
     *
     * @param load the load
     * @param nowMillis the monotonic time in milliseconds
     */
    public void recordLoad(Message.Load load, long nowMillis) {
        Objects.requireNonNull(load, "load is null");
        TargetState state = targets.get(load.target());
        if (state == null || isOlder(load, state)) {
            return;
        }
        index(
                residentTargets,
                state.load.map(Message.Load::resident),
                load.resident(),
                load.target());
        index(loadingTargets, state.load.map(Message.Load::loading), load.loading(), load.target());
        state.load = Optional.of(load);
        state.loadReceivedMillis = nowMillis;
        state.sentSinceLoad = 0;
    }

    private static boolean isOlder(Message.Load load, TargetState state) {
        return state.load.filter(last -> last.sequence() > load.sequence()).isPresent();
    }

    private static void index(
            Map<ModelId, Set<TargetId>> index,
            Optional<List<ModelId>> before,
            List<ModelId> after,
            TargetId target) {
        if (before.equals(Optional.of(after))) {
            return;
        }
        before.stream()
                .flatMap(List::stream)
                .forEach(model -> index.getOrDefault(model, Set.of()).remove(target));
        after.forEach(model -> index.computeIfAbsent(model, key -> new TreeSet<>()).add(target));
    }

    /**
     * Discards the load of a target whose connection closed, since it is no longer valid.
     *
     * @param target the target
     */
    public void clearLoad(TargetId target) {
        TargetState state = targets.get(target);
        if (state == null) {
            return;
        }
        index(residentTargets, state.load.map(Message.Load::resident), List.of(), target);
        index(loadingTargets, state.load.map(Message.Load::loading), List.of(), target);
        state.load = Optional.empty();
        state.sentSinceLoad = 0;
    }

    /**
     * Records that an attempt was sent.
     *
     * @param target the target of the attempt
     */
    public void recordSent(TargetId target) {
        TargetState state = targets.get(target);
        if (state != null) {
            state.outstanding++;
            state.sentSinceLoad++;
        }
    }

    /**
     * Records that an attempt ended that had been sent.
     *
     * @param target the target of the attempt
     */
    public void recordEnded(TargetId target) {
        TargetState state = targets.get(target);
        if (state != null) {
            state.outstanding = Math.max(0, state.outstanding - 1);
        }
    }

    /**
     * Records that an attempt ended with a complete answer.
     *
     * @param target the target of the attempt
     * @param runMillis the time that it ran in milliseconds, without its wait
     */
    public void recordServed(TargetId target, long runMillis) {
        TargetState state = targets.get(target);
        if (state != null) {
            state.serviceMillis += SERVICE_SMOOTHING_FACTOR * (runMillis - state.serviceMillis);
        }
    }

    /**
     * Returns the candidates of an attempt. These are the usable targets that have the model in
     * memory; if there are none, those that are loading it; if there are none, those where it is
     * planned; otherwise all engines. For a plain service, these are its usable targets.
     *
     * @param query what the attempt needs
     * @param usable whether a target may receive new requests
     * @param tried the targets that have already had an attempt, which are excluded
     * @param nowMillis the monotonic time in milliseconds
     * @return the candidates, sorted by name
     */
    public List<Candidate> candidates(
            RoutingQuery query, Predicate<TargetId> usable, Set<TargetId> tried, long nowMillis) {
        return query
                .service()
                .map(service -> serviceTargets(service, usable))
                .orElseGet(() -> modelTargets(query.model().orElseThrow(), usable, tried))
                .stream()
                .filter(target -> !tried.contains(target))
                .map(target -> candidate(target, query, nowMillis))
                .collect(Collectors.toList());
    }

    private List<TargetId> serviceTargets(ServiceId service, Predicate<TargetId> usable) {
        return targets.entrySet().stream()
                .filter(entry -> entry.getValue().target.service().equals(Optional.of(service)))
                .map(Map.Entry::getKey)
                .filter(usable)
                .collect(Collectors.toList());
    }

    // When the planned targets of a model refuse a request because they are busy, the request must
    // not go to a target without the model. It would cost a load there and evict a planned model
    // under high load. The plan decides where replicas are placed. Without a plan for the model,
    // nothing else would create a second replica.
    private List<TargetId> modelTargets(
            ModelId model, Predicate<TargetId> usable, Set<TargetId> tried) {
        Predicate<TargetId> eligible =
                plannedTargets.containsKey(model)
                        ? usable
                        : usable.and(target -> !tried.contains(target));
        return Stream.of(residentTargets, loadingTargets, plannedTargets)
                .map(index -> usableTargets(index, model, eligible))
                .filter(found -> !found.isEmpty())
                .findFirst()
                .orElseGet(() -> engines(eligible));
    }

    private List<TargetId> usableTargets(
            Map<ModelId, Set<TargetId>> index, ModelId model, Predicate<TargetId> usable) {
        return index.getOrDefault(model, Set.of()).stream()
                .filter(targets::containsKey)
                .filter(usable)
                .collect(Collectors.toList());
    }

    private List<TargetId> engines(Predicate<TargetId> usable) {
        return targets.entrySet().stream()
                .filter(entry -> entry.getValue().target.kind() == Configuration.TargetKind.ENGINE)
                .map(Map.Entry::getKey)
                .filter(usable)
                .collect(Collectors.toList());
    }

    private Candidate candidate(TargetId target, RoutingQuery query, long nowMillis) {
        TargetState state = targets.get(target);
        int reported = state.load.map(load -> load.running() + load.queued()).orElse(0);
        boolean adapterResident =
                query.adapter().isEmpty()
                        || state.load
                                .filter(load -> load.adapters().contains(query.adapter().get()))
                                .isPresent();
        return new Candidate(
                target,
                adapterResident,
                state.target.dataCentre().equals(localDataCentre) ? 0 : REMOTE_ROUND_TRIP_MILLIS,
                Math.max(1, state.target.concurrency()),
                state.load.map(load -> hint(load, query, nowMillis - state.loadReceivedMillis)),
                state.outstanding,
                Math.max(state.sentSinceLoad, state.outstanding - reported),
                state.serviceMillis);
    }

    private static Candidate.Hint hint(Message.Load load, RoutingQuery query, long ageMillis) {
        return new Candidate.Hint(
                load.waitMillis().getOrDefault(query.requestClass(), 0L),
                load.running() + load.queued(),
                Math.max(0, ageMillis));
    }

    /**
     * Returns the latest load of each target that has reported one.
     *
     * @param nowMillis the monotonic time in milliseconds
     * @return load and age by target
     */
    public Map<TargetId, ReportedLoad> loads(long nowMillis) {
        return targets.entrySet().stream()
                .filter(entry -> entry.getValue().load.isPresent())
                .collect(
                        Collectors.toMap(
                                Map.Entry::getKey,
                                entry ->
                                        new ReportedLoad(
                                                entry.getValue().load.get(),
                                                nowMillis - entry.getValue().loadReceivedMillis)));
    }

    /**
     * Holds the latest load of a target.
     *
     * @param load the load
     * @param ageMillis its age in milliseconds, counted from its arrival
     */
    public record ReportedLoad(Message.Load load, long ageMillis) {}
}
