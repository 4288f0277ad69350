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

/** Gives orders to the engines while this daemon has the lease. On the control thread. */
final class OrderGiver {
    private static final Logger LOG = Logger.getLogger("tamaracktrack.orders");
    private static final long TICK_MILLIS = 100;

    /** A report is asked for again after this long when none came. */
    private static final long REPORT_EVERY_MILLIS = 300;

    /** Orders begun in one tick at most; the rest follows a tenth of a second later. */
    private static final int MOST_ORDERS = 16;

    /** How often the log may tell which engines take no orders; such states last for seconds. */
    private static final long STATES_EVERY_MILLIS = 2_000;

    /**
     * After a pass that found nothing to move, and while no request waits for a copy, the next
     * whole one comes this many times its duration later, so that the passes take a small part of
     * the thread on any host.
     */
    private static final long REST_FACTOR = 20;

    private final EngineOrders orders;
    private final LeaseDriver lease;
    private final ControlThread control;
    private final DemandTracker demand;
    private final HoldingsExchange holdings;
    private final long pauseMillis;
    private final StoreLoadLimiter pace = StoreLoadLimiter.empty();
    private final UnansweredOrders unanswered = UnansweredOrders.none();
    private final Map<ServiceId, EngineCapacity> capacities = new HashMap<>();
    private final Map<TargetIncarnation, EngineTracker> books = new HashMap<>();
    private final Map<TargetIncarnation, Long> askedAtMillis = new HashMap<>();
    private Optional<ServingConfiguration> configuration = Optional.empty();
    private FleetSnapshot fleet = FleetSnapshot.empty();
    private long lastTerm = -1;
    private Map<EngineState, Long> loggedStates = Map.of();
    private long statesLoggedMillis;
    private final Map<ServiceId, Long> planAgainMillis = new HashMap<>();

    private OrderGiver(
            EngineOrders orders,
            LeaseDriver lease,
            ControlThread control,
            DemandTracker demand,
            HoldingsExchange holdings,
            long pauseMillis) {
        this.orders = orders;
        this.lease = lease;
        this.control = control;
        this.demand = demand;
        this.holdings = holdings;
        this.pauseMillis = pauseMillis;
    }

    static OrderGiver start(
            EngineOrders orders,
            LeaseDriver lease,
            ControlThread control,
            DemandTracker demand,
            HoldingsExchange holdings,
            long pauseMillis) {
        Objects.requireNonNull(orders, "orders is null");
        OrderGiver giver = new OrderGiver(orders, lease, control, demand, holdings, pauseMillis);
        control.every(TICK_MILLIS, giver::tick);
        return giver;
    }

    void configure(ServingConfiguration newer) {
        configuration = Optional.of(newer);
    }

    void fleet(FleetSnapshot newer) {
        fleet = newer;
        Set<TargetIncarnation> known =
                newer.all().map(TargetEntry::incarnation).collect(Collectors.toSet());
        books.keySet().retainAll(known);
        askedAtMillis.keySet().retainAll(known);
    }

    private void tick() {
        Optional<LeaseDriver.Permit> permit = lease.permit();
        if (permit.isEmpty()) {
            holdings.publish(Map.of());
            return;
        }
        if (permit.get().term() != lastTerm) {
            // What another holder ordered meanwhile is not in these books.
            books.clear();
            lastTerm = permit.get().term();
            if (!permit.get().first()) {
                followAnother();
            }
            LOG.info("event=order-duty-begins term=" + lastTerm);
        }
        demand.decay(ControlThread.nowMillis());
        Asked asked = Asked.of(demand);
        configuration.stream()
                .flatMap(inForce -> inForce.services().values().stream())
                .forEach(service -> serve(service, asked, permit.get()));
        holdings.publish(sure());
        logStates();
    }

    private void logStates() {
        long nowMillis = ControlThread.nowMillis();
        if (nowMillis - statesLoggedMillis < STATES_EVERY_MILLIS) {
            return;
        }
        Map<EngineState, Long> counts =
                books.values().stream()
                        .collect(
                                Collectors.groupingBy(
                                        EngineTracker::state,
                                        () -> new EnumMap<>(EngineState.class),
                                        Collectors.counting()));
        if (!counts.equals(loggedStates)) {
            LOG.info("event=engines states=" + counts);
            loggedStates = counts;
            statesLoggedMillis = nowMillis;
        }
    }

    private Map<TargetIncarnation, Map<ModelId, HeldModel>> sure() {
        long nowMillis = ControlThread.nowMillis();
        Map<TargetIncarnation, Map<ModelId, HeldModel>> sure = new HashMap<>();
        books.forEach(
                (engine, book) ->
                        book.confirmedModels(nowMillis).ifPresent(held -> sure.put(engine, held)));
        return sure;
    }

    private void followAnother() {
        configuration.stream()
                .flatMap(inForce -> inForce.services().values().stream())
                .flatMap(service -> service.engine().stream())
                .forEach(
                        engine ->
                                pace.assumeFullWindow(
                                        engine.loadsPerSecond(),
                                        ControlThread.nowMillis() - pauseMillis));
    }

    /** Demand as of a tick, which gives up to sixteen orders by it. */
    private record Asked(
            Map<ModelId, Double> quick,
            Map<ModelId, Double> slow,
            Map<ModelId, Double> expected,
            Map<ModelNeed, Integer> waiting,
            Map<ModelId, Integer> waitingByModel) {

        static Asked of(DemandTracker demand) {
            Map<ModelNeed, Integer> waiting = demand.waiting();
            return new Asked(
                    demand.shortTermDemand(),
                    demand.longTermDemand(),
                    demand.expectedDemand(),
                    waiting,
                    waiting.entrySet().stream()
                            .collect(
                                    Collectors.groupingBy(
                                            entry -> entry.getKey().model(),
                                            Collectors.summingInt(Map.Entry::getValue))));
        }

        double perSecond() {
            return quick.values().stream().mapToDouble(Double::doubleValue).sum();
        }
    }

    private void serve(ServiceSpecification service, Asked asked, LeaseDriver.Permit permit) {
        service.engine().ifPresent(engine -> serve(service.service(), engine, asked, permit));
    }

    private void serve(
            ServiceId service, EngineSpecification engine, Asked asked, LeaseDriver.Permit permit) {
        Map<TargetIncarnation, TargetEntry> entries =
                fleet.ready(service)
                        .collect(Collectors.toMap(TargetEntry::incarnation, Function.identity()));
        entries.values().forEach(this::askForReport);
        Map<TargetIncarnation, EngineTracker> engines =
                entries.keySet().stream()
                        .filter(name -> books.get(name).hasReport())
                        .collect(Collectors.toMap(Function.identity(), books::get));
        capacity(service)
                .update(
                        engines.values().stream().mapToInt(EngineTracker::running).sum(),
                        asked.perSecond(),
                        ControlThread.nowMillis());
        for (int count = 0; count < MOST_ORDERS; count++) {
            if (!giveNext(service, entries, engine, engines, asked, permit)) {
                return;
            }
        }
    }

    private boolean giveNext(
            ServiceId service,
            Map<TargetIncarnation, TargetEntry> entries,
            EngineSpecification engine,
            Map<TargetIncarnation, EngineTracker> engines,
            Asked asked,
            LeaseDriver.Permit permit) {
        Optional<AdapterPlanner.Move> adapter =
                AdapterPlanner.next(adapterView(engine, engines, asked));
        if (adapter.filter(AdapterPlanner.Move::isUrgent).isPresent()) {
            give(entries, adapter.get().order(), asked, permit);
            return true;
        }
        Optional<ReplicaPlanner.Move> copy =
                nextCopy(service, copyView(service, engine, engines, asked));
        if (copy.isPresent()) {
            give(entries, copy.get().order(), asked, permit);
            copy.filter(chosen -> chosen.victim().isPresent())
                    .ifPresent(chosen -> books.get(chosen.engine()).reserveFor(chosen.model()));
            return true;
        }
        adapter.ifPresent(move -> give(entries, move.order(), asked, permit));
        return adapter.isPresent();
    }

    private EngineCapacity capacity(ServiceId service) {
        return capacities.computeIfAbsent(service, name -> EngineCapacity.unknown());
    }

    private Optional<ReplicaPlanner.Move> nextCopy(ServiceId service, ReplicaPlanner.View view) {
        long restsUntilMillis = planAgainMillis.getOrDefault(service, Long.MIN_VALUE);
        if (view.waiting().isEmpty() && view.nowMillis() < restsUntilMillis) {
            return ReplicaPlanner.startedMove(view);
        }
        Optional<ReplicaPlanner.Move> move = ReplicaPlanner.next(view);
        if (move.isEmpty()) {
            long endMillis = ControlThread.nowMillis();
            long tookMillis = endMillis - view.nowMillis();
            planAgainMillis.put(service, endMillis + REST_FACTOR * tookMillis);
        }
        return move;
    }

    private ReplicaPlanner.View copyView(
            ServiceId service,
            EngineSpecification engine,
            Map<TargetIncarnation, EngineTracker> engines,
            Asked asked) {
        return new ReplicaPlanner.View(
                engine,
                engines,
                asked.quick(),
                asked.expected(),
                asked.waitingByModel(),
                demand::demandUrgency,
                demand.settled(ControlThread.nowMillis()),
                pace.allows(engine.loadsPerSecond(), ControlThread.nowMillis()),
                capacity(service).saturationRate(engine.slots()),
                ControlThread.nowMillis());
    }

    private AdapterPlanner.View adapterView(
            EngineSpecification engine,
            Map<TargetIncarnation, EngineTracker> engines,
            Asked asked) {
        return new AdapterPlanner.View(
                engine,
                engines,
                asked.slow().keySet(),
                demand::longTermDemand,
                asked.waiting(),
                unanswered.anyRecent(ControlThread.nowMillis()),
                ControlThread.nowMillis());
    }

    private void askForReport(TargetEntry entry) {
        long nowMillis = ControlThread.nowMillis();
        EngineTracker book =
                books.computeIfAbsent(
                        entry.incarnation(), name -> EngineTracker.of(entry.dataCentre()));
        long asked = askedAtMillis.getOrDefault(entry.incarnation(), Long.MIN_VALUE / 2);
        if (!book.needsReport(nowMillis) || nowMillis - asked < REPORT_EVERY_MILLIS) {
            return;
        }
        askedAtMillis.put(entry.incarnation(), nowMillis);
        orders.report(entry)
                .thenAccept(report -> control.post(() -> reported(entry, report, nowMillis)));
    }

    private void reported(TargetEntry entry, Optional<EngineReport> report, long askedAt) {
        EngineTracker book = books.get(entry.incarnation());
        if (book == null || report.isEmpty()) {
            return;
        }
        book.applyReport(report.get(), askedAt);
    }

    private void give(
            Map<TargetIncarnation, TargetEntry> entries,
            PlacementOrder order,
            Asked asked,
            LeaseDriver.Permit permit) {
        TargetEntry target = entries.get(order.engine());
        EngineTracker book = books.get(order.engine());
        long nowMillis = ControlThread.nowMillis();
        if (fromStore(book, order)) {
            pace.recordLoad(nowMillis);
        }
        EngineOrders.Authority authority =
                new EngineOrders.Authority(permit.term(), book.beginOrder(order));
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
                        + book.held()
                        + " demand="
                        + asked.quick().getOrDefault(order.model(), 0.0));
        orders.send(target, order, authority, permit::valid)
                .thenAccept(outcome -> control.post(() -> settled(order, outcome)));
    }

    private static boolean fromStore(EngineTracker book, PlacementOrder order) {
        return order.load()
                && order.isModelOrder()
                && !book.inMemory(order.model())
                && !book.onDisk(order.model());
    }

    private void settled(PlacementOrder order, EngineOrders.Outcome outcome) {
        if (outcome != EngineOrders.Outcome.ACCEPTED) {
            LOG.info("event=order-not-taken engine=" + order.engine() + " outcome=" + outcome);
        }
        if (outcome == EngineOrders.Outcome.UNKNOWN) {
            unanswered.recordUnanswered(ControlThread.nowMillis());
        }
        EngineTracker book = books.get(order.engine());
        if (book == null) {
            return;
        }
        if (outcome == EngineOrders.Outcome.ACCEPTED) {
            book.orderAccepted(ControlThread.nowMillis());
            // The engine may take the next one at once; adapters come in rows of eight.
            tick();
        } else if (outcome == EngineOrders.Outcome.NOT_TAKEN && book.busy() && order.load()) {
            book.reservedLoadRefused(order.model(), ControlThread.nowMillis());
        } else {
            book.orderOutcomeUnknown();
        }
    }
}
