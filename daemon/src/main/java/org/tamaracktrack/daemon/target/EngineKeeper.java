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
 * Keeps the models and adapters in one engine's memory in line with the plan and the waiting
 * requests: polls the inventory, decides on changes, and sends the orders that the {@link
 * OrderController} permits. Confined to the control thread.
 */
final class EngineKeeper implements AutoCloseable {
    private static final Logger LOG = Logger.getLogger(EngineKeeper.class);
    private static final long POLL_MILLIS = 500;
    private static final long POLL_WHILE_CHANGING_MILLIS = 50;
    private static final long UNREADABLE_LIMIT_MILLIS = 3_000;
    private static final String CAUSE_REQUEST = "request";
    private static final String CAUSE_VERSION = "version";

    private final TargetId target;
    private final ControlThread control;
    private final EngineClient engine;
    private final OwnershipAppender ownershipAppender;
    private final Submissions submissions;
    private final Counters counters;
    private final TargetMeters meters;
    private final OrderController orders;
    private final RetryDelays retryDelays = RetryDelays.empty();
    private final LoadDurations loadDurations = LoadDurations.empty();
    private final UnplannedDemand unplannedDemand = UnplannedDemand.empty();
    private Configuration configuration;
    private InetSocketAddress address;
    private long configuredAtMillis;
    private TargetLoadRateLimiter loadRateLimiter;
    private Optional<LogEntry.PlanPublished> plan = Optional.empty();
    private Set<ModelId> heldBack = Set.of();
    private Set<Need> ready = Set.of();
    private Runnable onReadyChanged = () -> {};
    private Runnable onDeposed = () -> {};
    private boolean logReachable = true;
    private boolean closed;
    private long lastInventoryAtMillis = ControlThread.nowMillis();

    private EngineKeeper(
            Configuration configuration,
            Configuration.Target target,
            IncarnationId self,
            long startedAtMillis,
            ControlThread control,
            EngineClient engine,
            OwnershipAppender ownershipAppender,
            Submissions submissions,
            Counters counters,
            TargetMeters meters) {
        this.target = target.id();
        this.control = control;
        this.engine = engine;
        this.ownershipAppender = ownershipAppender;
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
            OwnershipAppender ownershipAppender,
            Submissions submissions,
            Counters counters,
            TargetMeters meters) {
        Objects.requireNonNull(configuration, "configuration is null");
        EngineKeeper controller =
                new EngineKeeper(
                        configuration,
                        target,
                        self,
                        startedAtMillis,
                        control,
                        engine,
                        ownershipAppender,
                        submissions,
                        counters,
                        meters);
        submissions.onUnmetNeed(controller::reconcile);
        controller.poll(0);
        return controller;
    }

    void onReadyChanged(Runnable listener) {
        onReadyChanged = listener;
    }

    void onDeposed(Runnable listener) {
        onDeposed = listener;
    }

    void configure(Configuration newConfiguration, Configuration.Target newTarget) {
        configuration = newConfiguration;
        configuredAtMillis = ControlThread.nowMillis();
        address = EndpointParser.parse(newTarget.endpoint());
        loadRateLimiter = TargetLoadRateLimiter.of(newConfiguration, ControlThread.nowMillis());
    }

    void updatePlan(LogEntry.PlanPublished newPlan) {
        plan = Optional.of(newPlan);
        reconcile();
    }

    void onRecord(LogRecord record) {
        handle(new OrderMessage.RecordRead(record));
    }

    void onRecordsMissed() {
        handle(new OrderMessage.RecordsMissed());
    }

    void logReachable(boolean newLogReachable) {
        logReachable = newLogReachable;
    }

    boolean isOwner() {
        return orders.isOwner();
    }

    private void poll(long delayMillis) {
        engine.readInventory(
                address,
                delayMillis,
                reading -> control.post(() -> onInventory(reading)),
                () -> control.post(this::onInventoryUnreadable));
    }

    private void onInventory(EngineClient.InventoryReading reading) {
        lastInventoryAtMillis = ControlThread.nowMillis();
        handle(new OrderMessage.InventoryRead(reading.inventory(), reading.requestedAt()));
        reconcile();
        scheduleNextPoll();
    }

    private void scheduleNextPoll() {
        if (!closed) {
            poll(orders.pendingChanges().isEmpty() ? POLL_MILLIS : POLL_WHILE_CHANGING_MILLIS);
        }
    }

    // An engine that no longer answers must not attract requests: a request sent to it would wait
    // until its deadline, although another target could have served it.
    private void onInventoryUnreadable() {
        handle(new OrderMessage.Tick());
        if (ControlThread.nowMillis() - lastInventoryAtMillis > UNREADABLE_LIMIT_MILLIS) {
            publishReady(Set.of());
            submissions
                    .admission()
                    .unmetNeeds()
                    .forEach(need -> reportDelay(need, AdmissionMessage.NEVER));
        }
        scheduleNextPoll();
    }

    private void handle(OrderMessage message) {
        orders.handle(message, EngineClient.now()).forEach(this::apply);
    }

    private void apply(OrderAction action) {
        if (action instanceof OrderAction.Send send) {
            engine.send(address, send, () -> notSent(send.order().orderId()));
        } else if (action instanceof OrderAction.Append append) {
            append(append.entry());
        } else if (action instanceof OrderAction.Applied applied) {
            onApplied(applied.change());
        } else if (action instanceof OrderAction.NotApplied notApplied) {
            retryDelays.failed(notApplied.change(), ControlThread.nowMillis());
            loadDurations.failed(notApplied.change());
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
        ownershipAppender.append(
                entry,
                () -> {
                    if (entry instanceof LogEntry.OrderIntent intent) {
                        notSent(intent.order());
                    }
                });
    }

    private void onApplied(ResidencyChange change) {
        retryDelays.succeeded(change);
        loadDurations.completed(change, ControlThread.nowMillis());
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

    private void reconcile() {
        if (orders.inventory().isEmpty()) {
            return;
        }
        long nowMillis = ControlThread.nowMillis();
        recordUnplannedDemand(nowMillis);
        ResidencyDecision decision =
                ResidencyPlanner.decide(residencyView(orders.inventory().get()));
        heldBack = decision.heldBack();
        decision.changes().stream()
                .filter(change -> retryDelays.isDue(change, nowMillis))
                .filter(change -> !orders.isPending(change))
                .forEach(change -> orderChange(change, nowMillis));
        publishReady(readyNeeds());
        reportDelays(decision, nowMillis);
    }

    private void recordUnplannedDemand(long nowMillis) {
        Set<ModelId> requestedModels =
                submissions.admission().unmetNeeds().stream()
                        .map(Need::model)
                        .filter(this::isPlacedElsewhereOnly)
                        .collect(Collectors.toSet());
        unplannedDemand.record(requestedModels, nowMillis);
    }

    private boolean isPlacedElsewhereOnly(ModelId model) {
        List<TargetId> plannedTargets =
                plan.stream()
                        .flatMap(published -> published.placements().stream())
                        .filter(placement -> placement.model().equals(model))
                        .map(LogEntry.Placement::target)
                        .toList();
        return !plannedTargets.isEmpty() && !plannedTargets.contains(target);
    }

    private Set<Need> loadableNeeds(long nowMillis) {
        return submissions.admission().unmetNeeds().stream()
                .filter(need -> unplannedDemand.mayLoad(need.model(), nowMillis))
                .collect(Collectors.toCollection(LinkedHashSet::new));
    }

    private ResidencyView residencyView(EngineInventory inventory) {
        return new ResidencyView(
                target,
                configuration,
                ControlThread.nowMillis() - configuredAtMillis,
                plan,
                inventory,
                orders.free(),
                orders.pendingChanges(),
                loadableNeeds(ControlThread.nowMillis()),
                submissions.inUse(),
                loadRateLimiter.waitMillis(ControlThread.nowMillis()) == 0,
                submissions.lastUsedMillis());
    }

    private void orderChange(ResidencyChange change, long nowMillis) {
        boolean isRateLimited =
                change.cause().equals(CAUSE_REQUEST) || change.cause().equals(CAUSE_VERSION);
        if (!orders.mayOrder() || (isRateLimited && !isAllowedByLoadRate(change, nowMillis))) {
            return;
        }
        handle(new OrderMessage.ChangeRequested(change));
        if (orders.isPending(change)) {
            loadDurations.ordered(change, nowMillis);
        }
    }

    // An unload makes room for a load, so it waits for the load rate limit too. Otherwise a copy
    // would be unloaded long before its memory is used.
    private boolean isAllowedByLoadRate(ResidencyChange change, long nowMillis) {
        return change.kind().isLoad()
                ? loadRateLimiter.tryAcquire(nowMillis)
                : loadRateLimiter.waitMillis(nowMillis) == 0;
    }

    private void reportDelays(ResidencyDecision decision, long nowMillis) {
        List.copyOf(submissions.admission().unmetNeeds())
                .forEach(
                        need ->
                                reportDelay(
                                        need,
                                        isBeingLoaded(need)
                                                ? loadDurations.remainingMillis(need, nowMillis)
                                                : expectedDelayMillis(need, decision, nowMillis)));
    }

    private long expectedDelayMillis(Need need, ResidencyDecision decision, long nowMillis) {
        boolean cannotOrder = !logReachable && !orders.mayOrder();
        if (decision.unsatisfiable().contains(need)
                || cannotOrder
                || !unplannedDemand.mayLoad(need.model(), nowMillis)) {
            return AdmissionMessage.NEVER;
        }
        return loadRateLimiter.waitMillis(nowMillis) + loadDurations.expectedMillis(need);
    }

    private void reportDelay(Need need, long readyInMillis) {
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

    private void publishReady(Set<Need> newReady) {
        if (newReady.equals(ready)) {
            return;
        }
        ready = newReady;
        submissions.handle(new AdmissionMessage.ReadyChanged(newReady));
        onReadyChanged.run();
    }

    private Set<Need> readyNeeds() {
        return orders.inventory().stream()
                .flatMap(inventory -> inventory.models().stream())
                .filter(EngineInventory.ModelState::isReady)
                .filter(copy -> !heldBack.contains(copy.model()))
                .filter(copy -> !isBeingUnloaded(copy))
                .flatMap(this::needsMetBy)
                .collect(Collectors.toSet());
    }

    // Once an unload is ordered, no new request may start on the copy, since the engine would
    // unload it while the request runs.
    private boolean isBeingUnloaded(EngineInventory.ModelState copy) {
        return orders.pendingChanges().stream()
                .filter(change -> change.kind() == OrderKind.UNLOAD_MODEL)
                .filter(change -> change.model().equals(copy.model()))
                .anyMatch(change -> change.accelerator().equals(copy.accelerator()));
    }

    private Stream<Need> needsMetBy(EngineInventory.ModelState copy) {
        Set<Need> unloadingAdapters = new HashSet<>();
        orders.pendingChanges().stream()
                .filter(change -> change.kind() == OrderKind.UNLOAD_ADAPTER)
                .forEach(
                        change ->
                                change.adapter()
                                        .ifPresent(
                                                adapter ->
                                                        unloadingAdapters.add(
                                                                Need.of(change.model(), adapter))));
        return Stream.concat(
                Stream.of(Need.of(copy.model())),
                copy.adapters().stream()
                        .filter(adapter -> adapter.state() == EngineInventory.Residence.READY)
                        .map(adapter -> Need.of(copy.model(), adapter.adapter()))
                        .filter(need -> !unloadingAdapters.contains(need)));
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
