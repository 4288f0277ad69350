package org.tamaracktrack.daemon.target;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.jboss.logging.Logger;
import org.tamaracktrack.core.admission.AdmissionMessage;
import org.tamaracktrack.core.admission.Need;
import org.tamaracktrack.core.config.Configuration;
import org.tamaracktrack.core.id.IncarnationId;
import org.tamaracktrack.core.id.ModelId;
import org.tamaracktrack.core.id.OrderId;
import org.tamaracktrack.core.id.TargetId;
import org.tamaracktrack.core.log.LogEntry;
import org.tamaracktrack.core.log.LogRecord;
import org.tamaracktrack.core.report.CounterName;
import org.tamaracktrack.core.report.MoveCause;
import org.tamaracktrack.core.report.MoveKind;
import org.tamaracktrack.core.target.EngineInventory;
import org.tamaracktrack.core.target.OrderAction;
import org.tamaracktrack.core.target.OrderController;
import org.tamaracktrack.core.target.OrderKind;
import org.tamaracktrack.core.target.OrderMessage;
import org.tamaracktrack.core.target.OrderSettings;
import org.tamaracktrack.core.target.ResidencyChange;
import org.tamaracktrack.core.target.ResidencyDecision;
import org.tamaracktrack.core.target.ResidencyPlanner;
import org.tamaracktrack.core.target.ResidencyView;
import org.tamaracktrack.core.target.TargetLoadRateLimiter;
import org.tamaracktrack.daemon.counters.Counters;
import org.tamaracktrack.daemon.runtime.ControlThread;

/**
 * Keeps one engine's memory as the plan and the waiting requests ask: reads its inventory, decides
 * and carries out what order control allows. State belongs to the control thread.
 */
final class EngineKeeper implements AutoCloseable {
    private static final Logger LOG = Logger.getLogger(EngineKeeper.class);
    private static final long POLL_MILLIS = 500;
    private static final long BUSY_POLL_MILLIS = 50;
    private static final long SILENCE_MILLIS = 3_000;
    private static final String CAUSE_REQUEST = "request";
    private static final String CAUSE_VERSION = "version";

    private final TargetId target;
    private final ControlThread control;
    private final EngineClient engine;
    private final OwnershipLog ownershipLog;
    private final Submissions submissions;
    private final Counters counters;
    private final TargetMeters meters;
    private final OrderController orders;
    private final RetryDelays retryDelays = RetryDelays.empty();
    private final LoadTimes loadTimes = LoadTimes.empty();
    private final Strays strays = Strays.empty();
    private Configuration configuration;
    private InetSocketAddress address;
    private long configuredAtMillis;
    private TargetLoadRateLimiter pace;
    private Optional<LogEntry.PlanPublished> plan = Optional.empty();
    private Set<ModelId> heldBack = Set.of();
    private Set<Need> ready = Set.of();
    private Runnable onReadyChanged = () -> {};
    private Runnable onDeposed = () -> {};
    private boolean logReachable = true;
    private boolean closed;
    private long heardAtMillis = ControlThread.nowMillis();

    private EngineKeeper(
            Configuration configuration,
            Configuration.Target target,
            IncarnationId self,
            long startedAtMillis,
            ControlThread control,
            EngineClient engine,
            OwnershipLog ownershipLog,
            Submissions submissions,
            Counters counters,
            TargetMeters meters) {
        this.target = target.id();
        this.control = control;
        this.engine = engine;
        this.ownershipLog = ownershipLog;
        this.submissions = submissions;
        this.counters = counters;
        this.meters = meters;
        this.orders =
                OrderController.of(
                        new OrderSettings(
                                target.id(),
                                self,
                                startedAtMillis,
                                target.checksFencing(),
                                target.accelerators()));
        configure(configuration, target);
    }

    static EngineKeeper start(
            Configuration configuration,
            Configuration.Target target,
            IncarnationId self,
            long startedAtMillis,
            ControlThread control,
            EngineClient engine,
            OwnershipLog ownershipLog,
            Submissions submissions,
            Counters counters,
            TargetMeters meters) {
        Objects.requireNonNull(configuration, "configuration is null");
        EngineKeeper keeper =
                new EngineKeeper(
                        configuration,
                        target,
                        self,
                        startedAtMillis,
                        control,
                        engine,
                        ownershipLog,
                        submissions,
                        counters,
                        meters);
        submissions.onUnmetNeed(keeper::round);
        keeper.poll(0);
        return keeper;
    }

    void onReadyChanged(Runnable listener) {
        onReadyChanged = listener;
    }

    void onDeposed(Runnable listener) {
        onDeposed = listener;
    }

    void configure(Configuration now, Configuration.Target nowTarget) {
        configuration = now;
        configuredAtMillis = ControlThread.nowMillis();
        address = Endpoint.parse(nowTarget.endpoint());
        pace = TargetLoadRateLimiter.of(now, ControlThread.nowMillis());
    }

    void plan(LogEntry.PlanPublished now) {
        plan = Optional.of(now);
        round();
    }

    void record(LogRecord record) {
        handle(new OrderMessage.RecordRead(record));
    }

    void recordsMissed() {
        handle(new OrderMessage.RecordsMissed());
    }

    void logReachable(boolean now) {
        logReachable = now;
    }

    boolean isOwner() {
        return orders.isOwner();
    }

    private void poll(long delayMillis) {
        engine.readInventory(
                address,
                delayMillis,
                reading -> control.post(() -> read(reading)),
                () -> control.post(this::unreadable));
    }

    private void read(EngineClient.Reading reading) {
        heardAtMillis = ControlThread.nowMillis();
        handle(new OrderMessage.InventoryRead(reading.inventory(), reading.requestedAt()));
        round();
        pollAgain();
    }

    private void pollAgain() {
        if (!closed) {
            poll(orders.pendingChanges().isEmpty() ? POLL_MILLIS : BUSY_POLL_MILLIS);
        }
    }

    // An engine that no longer answers must not attract work: a request sent to it would wait for
    // its deadline where another target could have served it.
    private void unreadable() {
        handle(new OrderMessage.Tick());
        if (ControlThread.nowMillis() - heardAtMillis > SILENCE_MILLIS) {
            publishReady(Set.of());
            submissions
                    .admission()
                    .unmetNeeds()
                    .forEach(need -> delay(need, AdmissionMessage.NEVER));
        }
        pollAgain();
    }

    private void handle(OrderMessage message) {
        orders.handle(message, EngineClient.now()).forEach(this::apply);
    }

    private void apply(OrderAction action) {
        if (action instanceof OrderAction.Send send) {
            engine.send(address, send, () -> notSent(send.order().orderId()));
        } else if (action instanceof OrderAction.Append append) {
            append(append.entry());
        } else if (action instanceof OrderAction.Applied moved) {
            moved(moved.change());
        } else if (action instanceof OrderAction.NotApplied notMoved) {
            retryDelays.failed(notMoved.change(), ControlThread.nowMillis());
            loadTimes.failed(notMoved.change());
            meters.event("orders.without.effect");
        } else if (action instanceof OrderAction.Contended contended) {
            meters.event("memory.contended");
            LOG.warnf("event=memory-contended what=%s", contended.failure().getMessage());
        } else if (action instanceof OrderAction.Breach breach) {
            meters.event("invariant.breaches");
            LOG.errorf("event=invariant-breach what=%s", breach.failure().getMessage());
        } else if (action instanceof OrderAction.Deposed) {
            LOG.warnf("event=deposed target=%s", target);
            onDeposed.run();
        }
    }

    private void notSent(OrderId order) {
        control.post(() -> handle(new OrderMessage.NotSent(order)));
    }

    private void append(LogEntry entry) {
        ownershipLog.append(
                entry,
                () -> {
                    if (entry instanceof LogEntry.OrderIntent intent) {
                        notSent(intent.order());
                    }
                });
    }

    private void moved(ResidencyChange change) {
        retryDelays.succeeded(change);
        loadTimes.done(change, ControlThread.nowMillis());
        moveKind(change.kind())
                .ifPresent(
                        kind ->
                                counters.add(
                                        new CounterName.Moves(
                                                target,
                                                kind,
                                                MoveCause.of(change.cause())
                                                        .orElse(MoveCause.REQUEST)),
                                        1));
        LOG.infof(
                "event=moved target=%s kind=%s model=%s adapter=%s version=%s cause=%s",
                target,
                change.kind().text(),
                change.model(),
                change.adapter().map(Object::toString).orElse("-"),
                change.version(),
                change.cause());
    }

    private static Optional<MoveKind> moveKind(OrderKind kind) {
        return MoveKind.of(kind.text());
    }

    private void round() {
        if (orders.inventory().isEmpty()) {
            return;
        }
        long now = ControlThread.nowMillis();
        noteStrays(now);
        ResidencyDecision decision = ResidencyPlanner.decide(view(orders.inventory().get()));
        heldBack = decision.heldBack();
        decision.changes().stream()
                .filter(change -> retryDelays.isDue(change, now))
                .filter(change -> !orders.isPending(change))
                .forEach(change -> order(change, now));
        publishReady(readyNeeds());
        delayUnmet(decision, now);
    }

    private void noteStrays(long now) {
        Set<ModelId> wanted =
                submissions.admission().unmetNeeds().stream()
                        .map(Need::model)
                        .filter(this::isPlacedElsewhereOnly)
                        .collect(Collectors.toSet());
        strays.wanted(wanted, now);
    }

    private boolean isPlacedElsewhereOnly(ModelId model) {
        List<TargetId> homes =
                plan.stream()
                        .flatMap(each -> each.placements().stream())
                        .filter(placement -> placement.model().equals(model))
                        .map(LogEntry.Placement::target)
                        .toList();
        return !homes.isEmpty() && !homes.contains(target);
    }

    private Set<Need> needsToMeet(long now) {
        return submissions.admission().unmetNeeds().stream()
                .filter(need -> strays.mayLoad(need.model(), now))
                .collect(Collectors.toCollection(LinkedHashSet::new));
    }

    private ResidencyView view(EngineInventory inventory) {
        return new ResidencyView(
                target,
                configuration,
                ControlThread.nowMillis() - configuredAtMillis,
                plan,
                inventory,
                orders.free(),
                orders.pendingChanges(),
                needsToMeet(ControlThread.nowMillis()),
                submissions.inUse(),
                pace.waitMillis(ControlThread.nowMillis()) == 0,
                submissions.lastUsedMillis());
    }

    private void order(ResidencyChange change, long now) {
        boolean onItsOwn =
                change.cause().equals(CAUSE_REQUEST) || change.cause().equals(CAUSE_VERSION);
        if (!orders.mayOrder() || (onItsOwn && !mayMoveOnItsOwn(change, now))) {
            return;
        }
        handle(new OrderMessage.ChangeRequested(change));
        if (orders.isPending(change)) {
            loadTimes.ordered(change, now);
        }
    }

    // An unload makes room for a load, so it waits for the pace too: a copy would else be gone long
    // before its room is used.
    private boolean mayMoveOnItsOwn(ResidencyChange change, long now) {
        return change.kind().isLoad() ? pace.tryAcquire(now) : pace.waitMillis(now) == 0;
    }

    private void delayUnmet(ResidencyDecision decision, long now) {
        List.copyOf(submissions.admission().unmetNeeds())
                .forEach(
                        need ->
                                delay(
                                        need,
                                        isBeingLoaded(need)
                                                ? loadTimes.remainingMillis(need, now)
                                                : delayMillis(need, decision, now)));
    }

    private long delayMillis(Need need, ResidencyDecision decision, long now) {
        boolean mayNotOrder = !logReachable && !orders.mayOrder();
        if (decision.unsatisfiable().contains(need)
                || mayNotOrder
                || !strays.mayLoad(need.model(), now)) {
            return AdmissionMessage.NEVER;
        }
        return pace.waitMillis(now) + loadTimes.expectedMillis(need);
    }

    private void delay(Need need, long readyInMillis) {
        if (readyInMillis > 0) {
            submissions.handle(new AdmissionMessage.NeedDelayed(need, readyInMillis));
        }
    }

    private boolean isBeingLoaded(Need need) {
        return orders.pendingChanges().stream()
                        .anyMatch(change -> change.model().equals(need.model()))
                || orders.inventory().stream()
                        .flatMap(inventory -> inventory.copiesOf(need.model()).stream())
                        .anyMatch(copy -> !copy.isReady());
    }

    private void publishReady(Set<Need> now) {
        if (now.equals(ready)) {
            return;
        }
        ready = now;
        submissions.handle(new AdmissionMessage.ReadyChanged(now));
        onReadyChanged.run();
    }

    private Set<Need> readyNeeds() {
        return orders.inventory().stream()
                .flatMap(inventory -> inventory.models().stream())
                .filter(EngineInventory.ModelState::isReady)
                .filter(copy -> !heldBack.contains(copy.model()))
                .filter(copy -> !isLeaving(copy))
                .flatMap(this::needsMetBy)
                .collect(Collectors.toSet());
    }

    // From the moment an unload is ordered nothing new starts on the copy, or the engine would
    // unload under it.
    private boolean isLeaving(EngineInventory.ModelState copy) {
        return orders.pendingChanges().stream()
                .filter(change -> change.kind() == OrderKind.UNLOAD_MODEL)
                .filter(change -> change.model().equals(copy.model()))
                .anyMatch(change -> change.accelerator().equals(copy.accelerator()));
    }

    private Stream<Need> needsMetBy(EngineInventory.ModelState copy) {
        Set<Need> leaving = new HashSet<>();
        orders.pendingChanges().stream()
                .filter(change -> change.kind() == OrderKind.UNLOAD_ADAPTER)
                .forEach(
                        change ->
                                change.adapter()
                                        .ifPresent(
                                                adapter ->
                                                        leaving.add(
                                                                Need.of(change.model(), adapter))));
        return Stream.concat(
                Stream.of(Need.of(copy.model())),
                copy.adapters().stream()
                        .filter(adapter -> adapter.state() == EngineInventory.Residence.READY)
                        .map(adapter -> Need.of(copy.model(), adapter.adapter()))
                        .filter(need -> !leaving.contains(need)));
    }

    Set<Need> ready() {
        return ready;
    }

    List<ModelId> loading() {
        Map<ModelId, Boolean> loading = new HashMap<>();
        orders.pendingChanges().stream()
                .filter(change -> change.kind() == OrderKind.LOAD_MODEL)
                .forEach(change -> loading.put(change.model(), true));
        orders.inventory().stream()
                .flatMap(inventory -> inventory.models().stream())
                .filter(copy -> copy.state() == EngineInventory.Residence.LOADING)
                .forEach(copy -> loading.put(copy.model(), true));
        return List.copyOf(loading.keySet());
    }

    @Override
    public void close() {
        closed = true;
    }
}
