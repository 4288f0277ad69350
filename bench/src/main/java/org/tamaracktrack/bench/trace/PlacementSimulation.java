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

/** Simulates one placement policy, or loading on demand, over a demand trace in steps of 1 s. */
final class PlacementSimulation {
    private static final double MAX_WAIT_SECONDS = 2;
    private static final int REPORT_INTERVAL_SECONDS = 10;

    private final Configuration configuration;
    private final DemandTrace demand;
    private final Optional<Planner> planner;
    private final int reportLagSeconds;
    private final int engineLossSecond;
    private final Random arrivals;
    private final FakeWeightStore store;
    private final List<FakeEngine> engines;
    private final DemandEstimator estimator = DemandEstimator.empty();
    private final Map<String, Long> counters = new HashMap<>();
    private final List<LogRecord> pendingReports = new ArrayList<>();
    private List<Placement> plan = List.of();
    private long sequence;
    private long offered;
    private long served;
    private int loadsDuringWarmUp;
    private int unloadsDuringWarmUp;

    /**
     * The result of a run without its first tenth, which is the warm-up.
     *
     * @param offered the number of requests that arrived
     * @param served the number of requests that could start within the longest allowed wait
     * @param loads the number of loads of models and adapters
     * @param unloads the number of unloads of models and adapters
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
     * The conditions of a run.
     *
     * @param reportLagSeconds the delay of demand reports in seconds
     * @param engineLossSecond the second at which an engine fails permanently, or -1 for never
     */
    record Conditions(int reportLagSeconds, int engineLossSecond) {}

    PlacementSimulation(
            Configuration configuration,
            DemandTrace demand,
            Optional<PlacementPolicy> policy,
            Conditions conditions,
            long seed) {
        this.configuration = configuration;
        this.demand = demand;
        this.planner =
                policy.map(
                        placementPolicy ->
                                Planner.of(placementPolicy, Planner.DEFAULT_LOSS_GRACE_MILLIS));
        this.reportLagSeconds = conditions.reportLagSeconds();
        this.engineLossSecond = conditions.engineLossSecond();
        this.arrivals = new Random(seed);
        this.store = new FakeWeightStore(configuration.weightStore());
        this.engines =
                configuration.targets().values().stream()
                        .sorted(Comparator.comparing(Configuration.Target::id))
                        .map(target -> new FakeEngine(target, configuration, store))
                        .toList();
    }

    Result run(int seconds) {
        int warmUpSeconds = seconds / 10;
        for (int second = 0; second < seconds; second++) {
            if (second == warmUpSeconds) {
                offered = 0;
                served = 0;
                loadsDuringWarmUp = engines.stream().mapToInt(FakeEngine::loads).sum();
                unloadsDuringWarmUp = engines.stream().mapToInt(FakeEngine::unloads).sum();
            }
            simulateSecond(second);
        }
        return new Result(
                offered,
                served,
                engines.stream().mapToInt(FakeEngine::loads).sum() - loadsDuringWarmUp,
                engines.stream().mapToInt(FakeEngine::unloads).sum() - unloadsDuringWarmUp);
    }

    private void simulateSecond(int second) {
        if (second == engineLossSecond) {
            engines.get(0).fail();
        }
        store.refill();
        configuration.models().keySet().stream()
                .sorted()
                .forEach(model -> generateArrivals(model, second));
        engines.forEach(FakeEngine::advanceOneSecond);
        publishReports(second);
        planner.ifPresent(activePlanner -> updatePlan(activePlanner, second));
    }

    private void generateArrivals(ModelId model, int second) {
        int count = drawPoisson(demand.requestsPerSecond(model, second));
        for (int request = 0; request < count; request++) {
            offered++;
            incrementCounter(model, RequestOutcome.OFFERED);
            if (tryServe(model, second)) {
                served++;
                incrementCounter(model, RequestOutcome.IN_CLASS);
            }
        }
    }

    private boolean tryServe(ModelId model, int second) {
        Optional<FakeEngine> leastBusy =
                engines.stream()
                        .filter(engine -> engine.ready(model))
                        .min(Comparator.comparingDouble(FakeEngine::waitSeconds));
        boolean withinObjective =
                leastBusy.filter(engine -> engine.waitSeconds() <= MAX_WAIT_SECONDS).isPresent();
        if (withinObjective) {
            leastBusy.get().enqueue(model, second);
        } else if (planner.isEmpty()) {
            loadOnDemand(model, second);
        }
        return withinObjective;
    }

    // Loads the model on the least busy engine with room for it, one load of a model at a time.
    private void loadOnDemand(ModelId model, int second) {
        boolean loading =
                engines.stream().anyMatch(engine -> engine.holds(model) && !engine.ready(model));
        if (!loading) {
            engines.stream()
                    .filter(engine -> engine.up() && !engine.holds(model))
                    .sorted(Comparator.comparingDouble(FakeEngine::waitSeconds))
                    .anyMatch(engine -> engine.loadOnDemand(model, second, Set.of()));
        }
    }

    private int drawPoisson(double mean) {
        double limit = Math.exp(-mean);
        double product = arrivals.nextDouble();
        int count = 0;
        while (product > limit) {
            product *= arrivals.nextDouble();
            count++;
        }
        return count;
    }

    private void incrementCounter(ModelId model, RequestOutcome outcome) {
        String name =
                new CounterName.Requests(
                                ClientAccountId.of("all"),
                                model.value(),
                                RequestClassId.of("interactive"),
                                outcome)
                        .text();
        counters.merge(name, 1L, Long::sum);
    }

    private void publishReports(int second) {
        if (second % REPORT_INTERVAL_SECONDS == 0) {
            long atMillis = second * 1_000L;
            pendingReports.add(
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
        pendingReports.stream()
                .filter(record -> isDelivered(record, second))
                .forEach(estimator::handle);
        pendingReports.removeIf(record -> isDelivered(record, second));
    }

    private boolean isDelivered(LogRecord record, int second) {
        return record.appendedAtMillis() + reportLagSeconds * 1_000L <= second * 1_000L;
    }

    private void updatePlan(Planner activePlanner, int second) {
        Map<TargetId, TargetStatus> statuses =
                engines.stream()
                        .collect(
                                Collectors.toMap(
                                        engine -> engine.target().id(), FakeEngine::status));
        estimator.observeRunning(
                statuses.values().stream().mapToInt(TargetStatus::running).sum(), 1_000);
        plan =
                activePlanner.next(
                        plan,
                        new PlanningView(
                                second * 1_000L, configuration, statuses, estimator.demand()));
        engines.stream().filter(FakeEngine::up).forEach(engine -> engine.applyPlan(plan, second));
    }
}
