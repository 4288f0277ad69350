package org.tamaracktrack.daemon.copies;

import java.util.EnumMap;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.jboss.logging.Logger;
import org.tamaracktrack.core.copies.AdapterPlanner;
import org.tamaracktrack.core.copies.DemandTracker;
import org.tamaracktrack.core.copies.EngineCapacity;
import org.tamaracktrack.core.copies.EngineReport;
import org.tamaracktrack.core.copies.EngineState;
import org.tamaracktrack.core.copies.EngineTracker;
import org.tamaracktrack.core.copies.EngineWorkFactors;
import org.tamaracktrack.core.copies.PlacementOrder;
import org.tamaracktrack.core.copies.ReplicaPlanner;
import org.tamaracktrack.core.copies.StoreLoadLimiter;
import org.tamaracktrack.core.copies.UnansweredOrders;
import org.tamaracktrack.core.fleet.FleetSnapshot;
import org.tamaracktrack.core.fleet.HeldModel;
import org.tamaracktrack.core.fleet.ModelNeed;
import org.tamaracktrack.core.fleet.TargetEntry;
import org.tamaracktrack.core.fleet.TargetIncarnation;
import org.tamaracktrack.core.id.ModelId;
import org.tamaracktrack.core.id.ServiceId;
import org.tamaracktrack.core.route.EngineSpecification;
import org.tamaracktrack.core.route.ServiceSpecification;
import org.tamaracktrack.core.route.ServingConfiguration;
import org.tamaracktrack.daemon.runtime.ControlThread;

/**
 * Plans and sends orders to engines while this daemon holds the lease. Used on the control thread
 * only.
 */
final class OrderGiver {
    private static final Logger LOG = Logger.getLogger("tamaracktrack.orders");
    private static final long TICK_MILLIS = 100;

    /** How long after an unanswered request for a report the next one is sent. */
    private static final long REPORT_RETRY_MILLIS = 300;

    /** Limits the orders sent in one tick; the others follow in the next tick. */
    private static final int MAXIMUM_ORDERS_PER_TICK = 16;

    /**
     * The minimum interval between two log lines on engine states; states in which an engine
     * accepts no orders last for seconds.
     */
    private static final long STATE_LOG_INTERVAL_MILLIS = 2_000;

    /**
     * After a planning pass that found nothing to move, the next complete pass begins this many
     * times its duration later, unless a request waits for a replica. The passes thereby take a
     * small share of the control thread on any host.
     */
    private static final long PLANNING_PAUSE_FACTOR = 20;

    /** Work factor of an engine that is not known to be slower or faster than usual. */
    private static final double USUAL_WORK_FACTOR = 1;

    private final EngineOrders orders;
    private final LeaseDriver lease;
    private final ControlThread control;
    private final DemandTracker demand;
    private final EngineWorkFactors workFactors;
    private final HoldingsExchange holdings;
    private final long handoverPauseMillis;
    private final StoreLoadLimiter storeLoadLimiter = StoreLoadLimiter.empty();
    private final UnansweredOrders unansweredOrders = UnansweredOrders.none();
    private final Map<ServiceId, EngineCapacity> capacities = new HashMap<>();
    private final Map<TargetIncarnation, EngineTracker> trackers = new HashMap<>();
    private final Map<TargetIncarnation, Long> reportRequestedAtMillis = new HashMap<>();
    private Optional<ServingConfiguration> configuration = Optional.empty();
    private FleetSnapshot fleet = FleetSnapshot.empty();
    private long lastTerm = -1;
    private boolean admissionControl;
    private String loggedStates = "";
    private long statesLoggedMillis;
    private final Map<ServiceId, Long> nextPlanningMillis = new HashMap<>();

    /**
     * Holds what all daemons together report to the holder of the lease.
     *
     * @param demand the demand for models
     * @param workFactors by which factor work takes longer than usual at engines
     */
    record Observations(DemandTracker demand, EngineWorkFactors workFactors) {}

    private OrderGiver(
            EngineOrders orders,
            LeaseDriver lease,
            ControlThread control,
            Observations observations,
            HoldingsExchange holdings,
            long handoverPauseMillis) {
        this.orders = orders;
        this.lease = lease;
        this.control = control;
        this.demand = observations.demand();
        this.workFactors = observations.workFactors();
        this.holdings = holdings;
        this.handoverPauseMillis = handoverPauseMillis;
    }

    static OrderGiver start(
            EngineOrders orders,
            LeaseDriver lease,
            ControlThread control,
            Observations observations,
            HoldingsExchange holdings,
            long handoverPauseMillis) {
        Objects.requireNonNull(orders, "orders is null");
        OrderGiver giver =
                new OrderGiver(orders, lease, control, observations, holdings, handoverPauseMillis);
        control.every(TICK_MILLIS, giver::tick);
        return giver;
    }

    void configure(ServingConfiguration newer) {
        configuration = Optional.of(newer);
    }

    void setAdmissionControl(boolean isOn) {
        admissionControl = isOn;
    }

    void updateFleet(FleetSnapshot newer) {
        fleet = newer;
        Set<TargetIncarnation> known =
                newer.all().map(TargetEntry::incarnation).collect(Collectors.toSet());
        trackers.keySet().retainAll(known);
        reportRequestedAtMillis.keySet().retainAll(known);
    }

    private void tick() {
        Optional<LeaseDriver.Permit> permit = lease.permit();
        if (permit.isEmpty()) {
            holdings.publish(Map.of());
            return;
        }
        if (permit.get().term() != lastTerm) {
            // The trackers lack the orders that another holder sent in the meantime.
            trackers.clear();
            lastTerm = permit.get().term();
            if (!permit.get().firstHolder()) {
                assumeLoadsOfFormerHolder();
            }
            LOG.info("event=order-duty-begins term=" + lastTerm);
        }
        demand.decay(ControlThread.nowMillis());
        DemandSnapshot snapshot =
                DemandSnapshot.of(demand, workFactors.current(ControlThread.nowMillis()));
        configuration.stream()
                .flatMap(inForce -> inForce.services().values().stream())
                .forEach(service -> placeModels(service, snapshot, permit.get()));
        holdings.publish(confirmedModels());
        logStates();
    }

    private void logStates() {
        long nowMillis = ControlThread.nowMillis();
        if (nowMillis - statesLoggedMillis < STATE_LOG_INTERVAL_MILLIS) {
            return;
        }
        Map<EngineState, Long> counts =
                trackers.values().stream()
                        .collect(
                                Collectors.groupingBy(
                                        EngineTracker::state,
                                        () -> new EnumMap<>(EngineState.class),
                                        Collectors.counting()));
        long knownFactors =
                workFactors.current(nowMillis).keySet().stream()
                        .filter(trackers::containsKey)
                        .count();
        String states =
                "states=" + counts + (knownFactors == 0 ? "" : " known_factors=" + knownFactors);
        if (!states.equals(loggedStates)) {
            LOG.info("event=engines " + states);
            loggedStates = states;
            statesLoggedMillis = nowMillis;
        }
    }

    private Map<TargetIncarnation, Map<ModelId, HeldModel>> confirmedModels() {
        long nowMillis = ControlThread.nowMillis();
        Map<TargetIncarnation, Map<ModelId, HeldModel>> confirmed = new HashMap<>();
        trackers.forEach(
                (engine, tracker) ->
                        tracker.confirmedModels(nowMillis)
                                .ifPresent(held -> confirmed.put(engine, held)));
        return confirmed;
    }

    private void assumeLoadsOfFormerHolder() {
        configuration.stream()
                .flatMap(inForce -> inForce.services().values().stream())
                .flatMap(service -> service.engine().stream())
                .forEach(
                        engine ->
                                storeLoadLimiter.assumeFullWindow(
                                        engine.loadsPerSecond(),
                                        ControlThread.nowMillis() - handoverPauseMillis));
    }

    /**
     * The demand and the work factors at the start of a tick, on which all orders of the tick are
     * based.
     */
    private record DemandSnapshot(
            Map<ModelId, Double> shortTerm,
            Map<ModelId, Double> urgentShortTerm,
            Map<ModelId, Double> longTerm,
            Map<ModelId, Double> expected,
            Map<ModelNeed, Integer> waiting,
            Map<ModelId, Integer> waitingByModel,
            Map<TargetIncarnation, Double> workFactors) {

        static DemandSnapshot of(DemandTracker demand, Map<TargetIncarnation, Double> workFactors) {
            Map<ModelNeed, Integer> waiting = demand.waiting();
            return new DemandSnapshot(
                    demand.shortTermDemand(),
                    demand.urgentShortTermDemand(),
                    demand.longTermDemand(),
                    demand.expectedDemand(),
                    waiting,
                    waiting.entrySet().stream()
                            .collect(
                                    Collectors.groupingBy(
                                            entry -> entry.getKey().model(),
                                            Collectors.summingInt(Map.Entry::getValue))),
                    workFactors);
        }

        double workFactor(TargetIncarnation engine) {
            return workFactors.getOrDefault(engine, USUAL_WORK_FACTOR);
        }

        double totalPerSecond() {
            return shortTerm.values().stream().mapToDouble(Double::doubleValue).sum();
        }
    }

    private void placeModels(
            ServiceSpecification service, DemandSnapshot snapshot, LeaseDriver.Permit permit) {
        service.engine()
                .ifPresent(engine -> placeModels(service.service(), engine, snapshot, permit));
    }

    private void placeModels(
            ServiceId service,
            EngineSpecification engine,
            DemandSnapshot snapshot,
            LeaseDriver.Permit permit) {
        Map<TargetIncarnation, TargetEntry> entries =
                fleet.ready(service)
                        .collect(Collectors.toMap(TargetEntry::incarnation, Function.identity()));
        entries.values().forEach(this::requestReport);
        Map<TargetIncarnation, EngineTracker> engines =
                entries.keySet().stream()
                        .filter(name -> trackers.get(name).hasReport())
                        .collect(Collectors.toMap(Function.identity(), trackers::get));
        capacity(service)
                .update(
                        engines.entrySet().stream()
                                .mapToDouble(
                                        entry ->
                                                entry.getValue().running()
                                                        / snapshot.workFactor(entry.getKey()))
                                .sum(),
                        snapshot.totalPerSecond(),
                        ControlThread.nowMillis());
        for (int count = 0; count < MAXIMUM_ORDERS_PER_TICK; count++) {
            if (!sendNextOrder(service, entries, engine, engines, snapshot, permit)) {
                return;
            }
        }
    }

    private boolean sendNextOrder(
            ServiceId service,
            Map<TargetIncarnation, TargetEntry> entries,
            EngineSpecification engine,
            Map<TargetIncarnation, EngineTracker> engines,
            DemandSnapshot snapshot,
            LeaseDriver.Permit permit) {
        Optional<AdapterPlanner.Move> adapterMove =
                AdapterPlanner.next(adapterView(engine, engines, snapshot));
        if (adapterMove.filter(AdapterPlanner.Move::isUrgent).isPresent()) {
            sendOrder(entries, adapterMove.get().order(), snapshot, permit);
            return true;
        }
        Optional<ReplicaPlanner.Move> replicaMove =
                nextReplicaMove(service, replicaView(service, engine, engines, snapshot));
        if (replicaMove.isPresent()) {
            sendOrder(entries, replicaMove.get().order(), snapshot, permit);
            replicaMove
                    .filter(move -> move.victim().isPresent())
                    .ifPresent(move -> trackers.get(move.engine()).reserveFor(move.model()));
            return true;
        }
        adapterMove.ifPresent(move -> sendOrder(entries, move.order(), snapshot, permit));
        return adapterMove.isPresent();
    }

    private EngineCapacity capacity(ServiceId service) {
        return capacities.computeIfAbsent(service, name -> EngineCapacity.unknown());
    }

    private Optional<ReplicaPlanner.Move> nextReplicaMove(
            ServiceId service, ReplicaPlanner.View view) {
        long pausedUntilMillis = nextPlanningMillis.getOrDefault(service, Long.MIN_VALUE);
        if (view.waiting().isEmpty() && view.nowMillis() < pausedUntilMillis) {
            return ReplicaPlanner.startedMove(view);
        }
        Optional<ReplicaPlanner.Move> move = ReplicaPlanner.next(view);
        if (move.isEmpty()) {
            long endMillis = ControlThread.nowMillis();
            long durationMillis = endMillis - view.nowMillis();
            nextPlanningMillis.put(service, endMillis + PLANNING_PAUSE_FACTOR * durationMillis);
        }
        return move;
    }

    private ReplicaPlanner.View replicaView(
            ServiceId service,
            EngineSpecification engine,
            Map<TargetIncarnation, EngineTracker> engines,
            DemandSnapshot snapshot) {
        return new ReplicaPlanner.View(
                engine,
                engines,
                snapshot.shortTerm(),
                snapshot.expected(),
                snapshot.waitingByModel(),
                demand::demandUrgency,
                demand.settled(ControlThread.nowMillis()),
                storeLoadLimiter.allows(engine.loadsPerSecond(), ControlThread.nowMillis()),
                capacity(service).saturationRate(engine.slots()),
                snapshot.workFactors(),
                admissionControl
                        || engines.keySet().stream().anyMatch(snapshot.workFactors()::containsKey),
                snapshot.urgentShortTerm(),
                ControlThread.nowMillis());
    }

    private AdapterPlanner.View adapterView(
            EngineSpecification engine,
            Map<TargetIncarnation, EngineTracker> engines,
            DemandSnapshot snapshot) {
        return new AdapterPlanner.View(
                engine,
                engines,
                snapshot.longTerm().keySet(),
                demand::longTermDemand,
                snapshot.waiting(),
                unansweredOrders.anyRecent(ControlThread.nowMillis()),
                ControlThread.nowMillis());
    }

    private void requestReport(TargetEntry entry) {
        long nowMillis = ControlThread.nowMillis();
        EngineTracker tracker =
                trackers.computeIfAbsent(
                        entry.incarnation(), name -> EngineTracker.of(entry.dataCentre()));
        long requestedAtMillis =
                reportRequestedAtMillis.getOrDefault(entry.incarnation(), Long.MIN_VALUE / 2);
        if (!tracker.needsReport(nowMillis)
                || nowMillis - requestedAtMillis < REPORT_RETRY_MILLIS) {
            return;
        }
        reportRequestedAtMillis.put(entry.incarnation(), nowMillis);
        orders.report(entry)
                .thenAccept(report -> control.post(() -> handleReport(entry, report, nowMillis)));
    }

    private void handleReport(
            TargetEntry entry, Optional<EngineReport> report, long requestedAtMillis) {
        EngineTracker tracker = trackers.get(entry.incarnation());
        if (tracker == null || report.isEmpty()) {
            return;
        }
        tracker.applyReport(report.get(), requestedAtMillis);
    }

    private void sendOrder(
            Map<TargetIncarnation, TargetEntry> entries,
            PlacementOrder order,
            DemandSnapshot snapshot,
            LeaseDriver.Permit permit) {
        TargetEntry target = entries.get(order.engine());
        EngineTracker tracker = trackers.get(order.engine());
        long nowMillis = ControlThread.nowMillis();
        if (loadsFromStore(tracker, order)) {
            storeLoadLimiter.recordLoad(nowMillis);
        }
        EngineOrders.Authority authority =
                new EngineOrders.Authority(permit.term(), tracker.beginOrder(order));
        LOG.info(
                "event=order engine="
                        + order.engine()
                        + " load="
                        + order.load()
                        + " model="
                        + order.model()
                        + order.adapter().map(adapter -> "/" + adapter).orElse("")
                        + " term="
                        + authority.term()
                        + " expected_orders="
                        + authority.expectedOrders()
                        + " holds="
                        + tracker.held()
                        + " demand="
                        + snapshot.shortTerm().getOrDefault(order.model(), 0.0)
                        + Optional.ofNullable(snapshot.workFactors().get(order.engine()))
                                .map(factor -> " factor=" + factor)
                                .orElse(""));
        orders.send(target, order, authority, permit::isValid)
                .thenAccept(outcome -> control.post(() -> handleOutcome(order, outcome)));
    }

    private static boolean loadsFromStore(EngineTracker tracker, PlacementOrder order) {
        return order.load()
                && order.isModelOrder()
                && !tracker.inMemory(order.model())
                && !tracker.onDisk(order.model());
    }

    private void handleOutcome(PlacementOrder order, EngineOrders.Outcome outcome) {
        if (outcome != EngineOrders.Outcome.ACCEPTED) {
            LOG.info("event=order-not-taken engine=" + order.engine() + " outcome=" + outcome);
        }
        if (outcome == EngineOrders.Outcome.UNKNOWN) {
            unansweredOrders.recordUnanswered(ControlThread.nowMillis());
        }
        EngineTracker tracker = trackers.get(order.engine());
        if (tracker == null) {
            return;
        }
        if (outcome == EngineOrders.Outcome.ACCEPTED) {
            tracker.orderAccepted(ControlThread.nowMillis());
            // The engine may accept the next order at once; adapters are loaded in series of eight.
            tick();
        } else if (outcome == EngineOrders.Outcome.NOT_TAKEN && tracker.busy() && order.load()) {
            tracker.reservedLoadRefused(order.model(), ControlThread.nowMillis());
        } else {
            tracker.orderOutcomeUnknown();
        }
    }
}
