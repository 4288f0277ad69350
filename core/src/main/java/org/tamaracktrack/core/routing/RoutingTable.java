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

/** What one entry daemon knows of the targets: the candidates of an attempt come from here. */
public final class RoutingTable {
    private static final long OTHER_DATA_CENTRE_MILLIS = 4;
    private static final double FIRST_SERVICE_MILLIS = 500;
    private static final double SERVICE_WEIGHT = 0.1;

    private final DataCentreId here;
    private final Map<TargetId, Known> targets = new TreeMap<>();
    private final Map<ModelId, Set<TargetId>> resident = new TreeMap<>();
    private final Map<ModelId, Set<TargetId>> loading = new TreeMap<>();
    private Map<ModelId, Set<TargetId>> planned = Map.of();

    private RoutingTable(DataCentreId here) {
        this.here = here;
    }

    /**
     * Returns an empty table.
     *
     * @param here the data centre of the daemon
     * @return the table
     */
    public static RoutingTable empty(DataCentreId here) {
        Objects.requireNonNull(here, "here is null");
        return new RoutingTable(here);
    }

    private static final class Known {
        private Configuration.Target target;
        private Optional<Message.Load> load = Optional.empty();
        private long heardAtMillis;
        private int outstanding;
        private int sentSinceHeard;
        private double serviceMillis = FIRST_SERVICE_MILLIS;

        private Known(Configuration.Target target) {
            this.target = target;
        }
    }

    /**
     * A configuration is in force.
     *
     * @param configuration the configuration
     */
    public void configure(Configuration configuration) {
        Objects.requireNonNull(configuration, "configuration is null");
        Set<TargetId> gone = new TreeSet<>(targets.keySet());
        gone.removeAll(configuration.targets().keySet());
        gone.forEach(this::remove);
        configuration
                .targets()
                .forEach(
                        (id, target) ->
                                targets.computeIfAbsent(id, key -> new Known(target)).target =
                                        target);
    }

    private void remove(TargetId target) {
        forget(target);
        targets.remove(target);
    }

    /**
     * A placement plan is in force.
     *
     * @param placements its placements
     */
    public void plan(Collection<LogEntry.Placement> placements) {
        planned =
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
     * A target reported its load.
     *
     * @param load the load
     * @param nowMillis the time
     */
    public void heard(Message.Load load, long nowMillis) {
        Objects.requireNonNull(load, "load is null");
        Known known = targets.get(load.target());
        if (known == null || isOlder(load, known)) {
            return;
        }
        index(resident, known.load.map(Message.Load::resident), load.resident(), load.target());
        index(loading, known.load.map(Message.Load::loading), load.loading(), load.target());
        known.load = Optional.of(load);
        known.heardAtMillis = nowMillis;
        known.sentSinceHeard = 0;
    }

    private static boolean isOlder(Message.Load load, Known known) {
        return known.load.filter(last -> last.sequence() > load.sequence()).isPresent();
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
     * The connection to a target closed: what it said of itself holds no longer.
     *
     * @param target the target
     */
    public void forget(TargetId target) {
        Known known = targets.get(target);
        if (known == null) {
            return;
        }
        index(resident, known.load.map(Message.Load::resident), List.of(), target);
        index(loading, known.load.map(Message.Load::loading), List.of(), target);
        known.load = Optional.empty();
        known.sentSinceHeard = 0;
    }

    /**
     * An attempt was sent.
     *
     * @param target where to
     */
    public void sent(TargetId target) {
        Known known = targets.get(target);
        if (known != null) {
            known.outstanding++;
            known.sentSinceHeard++;
        }
    }

    /**
     * An attempt that had been sent ended.
     *
     * @param target where it was
     */
    public void ended(TargetId target) {
        Known known = targets.get(target);
        if (known != null) {
            known.outstanding = Math.max(0, known.outstanding - 1);
        }
    }

    /**
     * An attempt ended with a whole answer.
     *
     * @param target where it was
     * @param runMillis how long it ran, without its wait
     */
    public void served(TargetId target, long runMillis) {
        Known known = targets.get(target);
        if (known != null) {
            known.serviceMillis += SERVICE_WEIGHT * (runMillis - known.serviceMillis);
        }
    }

    /**
     * Returns the candidates of an attempt: targets where the model is in memory; else where it is
     * being loaded or is planned to be; else any that could load it.
     *
     * @param query what is asked for
     * @param usable whether a target may get new work
     * @param tried targets that have had an attempt
     * @param nowMillis the time
     * @return the candidates, by name
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

    // A request that its busy homes refused would, at a target without the model, cost a load and
    // evict what was planned there, just when there is too much to do; where copies go is the
    // plan's business. Without a plan for the model nobody else would make a second copy.
    private List<TargetId> modelTargets(
            ModelId model, Predicate<TargetId> usable, Set<TargetId> tried) {
        Predicate<TargetId> candidate =
                planned.containsKey(model) ? usable : usable.and(target -> !tried.contains(target));
        return Stream.of(resident, loading, planned)
                .map(index -> known(index, model, candidate))
                .filter(homes -> !homes.isEmpty())
                .findFirst()
                .orElseGet(() -> engines(candidate));
    }

    private List<TargetId> known(
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
        Known known = targets.get(target);
        int reported = known.load.map(load -> load.running() + load.queued()).orElse(0);
        boolean adapterResident =
                query.adapter().isEmpty()
                        || known.load
                                .filter(load -> load.adapters().contains(query.adapter().get()))
                                .isPresent();
        return new Candidate(
                target,
                adapterResident,
                known.target.dataCentre().equals(here) ? 0 : OTHER_DATA_CENTRE_MILLIS,
                Math.max(1, known.target.concurrency()),
                known.load.map(load -> hint(load, query, nowMillis - known.heardAtMillis)),
                known.outstanding,
                Math.max(known.sentSinceHeard, known.outstanding - reported),
                known.serviceMillis);
    }

    private static Candidate.Hint hint(Message.Load load, RoutingQuery query, long ageMillis) {
        return new Candidate.Hint(
                load.waitMillis().getOrDefault(query.requestClass(), 0L),
                load.running() + load.queued(),
                Math.max(0, ageMillis));
    }

    /**
     * Returns the latest loads.
     *
     * @param nowMillis the time
     * @return load and age by target
     */
    public Map<TargetId, Heard> loads(long nowMillis) {
        return targets.entrySet().stream()
                .filter(entry -> entry.getValue().load.isPresent())
                .collect(
                        Collectors.toMap(
                                Map.Entry::getKey,
                                entry ->
                                        new Heard(
                                                entry.getValue().load.get(),
                                                nowMillis - entry.getValue().heardAtMillis)));
    }

    /**
     * A target's latest load.
     *
     * @param load the load
     * @param ageMillis how long ago it arrived
     */
    public record Heard(Message.Load load, long ageMillis) {}
}
