package org.tamaracktrack.bench.trace;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.stream.Collectors;
import org.tamaracktrack.core.config.Configuration;
import org.tamaracktrack.core.id.ClientAccountId;
import org.tamaracktrack.core.id.IncarnationId;
import org.tamaracktrack.core.id.ModelId;
import org.tamaracktrack.core.id.RequestClassId;
import org.tamaracktrack.core.id.TargetId;
import org.tamaracktrack.core.log.LogEntry.CountersPublished;
import org.tamaracktrack.core.log.LogEntry.Placement;
import org.tamaracktrack.core.log.LogRecord;
import org.tamaracktrack.core.placement.DemandEstimator;
import org.tamaracktrack.core.placement.PlacementPolicy;
import org.tamaracktrack.core.placement.Planner;
import org.tamaracktrack.core.placement.PlanningView;
import org.tamaracktrack.core.placement.TargetStatus;
import org.tamaracktrack.core.report.CounterName;
import org.tamaracktrack.core.report.RequestOutcome;

/** One run of a policy over a demand trace. */
final class PlacementTrace {
    private static final double LONGEST_WAIT_SECONDS = 2;
    private static final int REPORT_SECONDS = 10;

    private final Configuration configuration;
    private final DemandTrace demand;
    private final Optional<Planner> planner;
    private final int lagSeconds;
    private final int loseAtSecond;
    private final Random arrivals;
    private final FakeWeightStore store;
    private final List<FakeEngine> engines;
    private final DemandEstimator estimator = DemandEstimator.empty();
    private final Map<String, Long> counters = new HashMap<>();
    private final List<LogRecord> late = new ArrayList<>();
    private List<Placement> plan = List.of();
    private long sequence;
    private long offered;
    private long served;
    private int warmLoads;
    private int warmUnloads;

    /**
     * What a run gave, its first tenth left out.
     *
     * @param offered requests that arrived
     * @param served requests that began within the objective
     * @param loads loads of models and adapters
     * @param unloads unloads of models and adapters
     */
    record Result(long offered, long served, int loads, int unloads) {
        double attainment() {
            return (double) served / offered;
        }

        int moves() {
            return loads + unloads;
        }
    }

    /**
     * The circumstances of a run.
     *
     * @param lagSeconds how late reports of demand arrive
     * @param loseAtSecond when an engine is lost for good, -1 for never
     */
    record Circumstances(int lagSeconds, int loseAtSecond) {}

    PlacementTrace(
            Configuration configuration,
            DemandTrace demand,
            Optional<PlacementPolicy> policy,
            Circumstances circumstances,
            long seed) {
        this.configuration = configuration;
        this.demand = demand;
        this.planner = policy.map(one -> Planner.of(one, Planner.DEFAULT_LOSS_GRACE_MILLIS));
        this.lagSeconds = circumstances.lagSeconds();
        this.loseAtSecond = circumstances.loseAtSecond();
        this.arrivals = new Random(seed);
        this.store = new FakeWeightStore(configuration.weightStore());
        this.engines =
                configuration.targets().values().stream()
                        .sorted(Comparator.comparing(Configuration.Target::id))
                        .map(target -> new FakeEngine(target, configuration, store))
                        .toList();
    }

    Result run(int seconds) {
        int warm = seconds / 10;
        for (int second = 0; second < seconds; second++) {
            if (second == warm) {
                offered = 0;
                served = 0;
                warmLoads = engines.stream().mapToInt(FakeEngine::loads).sum();
                warmUnloads = engines.stream().mapToInt(FakeEngine::unloads).sum();
            }
            second(second);
        }
        return new Result(
                offered,
                served,
                engines.stream().mapToInt(FakeEngine::loads).sum() - warmLoads,
                engines.stream().mapToInt(FakeEngine::unloads).sum() - warmUnloads);
    }

    private void second(int second) {
        if (second == loseAtSecond) {
            engines.get(0).lose();
        }
        store.second();
        configuration.models().keySet().stream().sorted().forEach(model -> arrive(model, second));
        engines.forEach(FakeEngine::second);
        report(second);
        planner.ifPresent(one -> plan(one, second));
    }

    private void arrive(ModelId model, int second) {
        int count = poisson(demand.perSecond(model, second));
        for (int request = 0; request < count; request++) {
            offered++;
            count(model, RequestOutcome.OFFERED);
            if (serve(model, second)) {
                served++;
                count(model, RequestOutcome.IN_CLASS);
            }
        }
    }

    private boolean serve(ModelId model, int second) {
        Optional<FakeEngine> home =
                engines.stream()
                        .filter(engine -> engine.ready(model))
                        .min(Comparator.comparingDouble(FakeEngine::waitSeconds));
        boolean inTime = home.filter(one -> one.waitSeconds() <= LONGEST_WAIT_SECONDS).isPresent();
        if (inTime) {
            home.get().take(model, second);
        } else if (planner.isEmpty()) {
            loadOnDemand(model, second);
        }
        return inTime;
    }

    // Without a plan, the least busy engine loads the model; one load at a time for each model.
    private void loadOnDemand(ModelId model, int second) {
        boolean underWay = engines.stream().anyMatch(one -> one.has(model) && !one.ready(model));
        if (!underWay) {
            engines.stream()
                    .filter(one -> one.up() && !one.has(model))
                    .sorted(Comparator.comparingDouble(FakeEngine::waitSeconds))
                    .anyMatch(one -> one.loadOnDemand(model, second, Set.of()));
        }
    }

    private int poisson(double mean) {
        double limit = Math.exp(-mean);
        double product = arrivals.nextDouble();
        int count = 0;
        while (product > limit) {
            product *= arrivals.nextDouble();
            count++;
        }
        return count;
    }

    private void count(ModelId model, RequestOutcome outcome) {
        String name =
                new CounterName.Requests(
                                ClientAccountId.of("all"),
                                model.value(),
                                RequestClassId.of("interactive"),
                                outcome)
                        .text();
        counters.merge(name, 1L, Long::sum);
    }

    private void report(int second) {
        if (second % REPORT_SECONDS == 0) {
            long atMillis = second * 1_000L;
            late.add(
                    LogRecord.of(
                            sequence,
                            atMillis,
                            new CountersPublished(
                                    IncarnationId.of("entry-1"),
                                    "entry",
                                    sequence++,
                                    0,
                                    atMillis,
                                    false,
                                    counters)));
        }
        late.stream().filter(record -> arrived(record, second)).forEach(estimator::handle);
        late.removeIf(record -> arrived(record, second));
    }

    private boolean arrived(LogRecord record, int second) {
        return record.appendedAtMillis() + lagSeconds * 1_000L <= second * 1_000L;
    }

    private void plan(Planner one, int second) {
        Map<TargetId, TargetStatus> statuses =
                engines.stream()
                        .collect(
                                Collectors.toMap(
                                        engine -> engine.target().id(), FakeEngine::status));
        estimator.observeRunning(
                statuses.values().stream().mapToInt(TargetStatus::running).sum(), 1_000);
        plan =
                one.next(
                        plan,
                        new PlanningView(
                                second * 1_000L, configuration, statuses, estimator.demand()));
        engines.stream().filter(FakeEngine::up).forEach(engine -> engine.follow(plan, second));
    }
}
