package org.tamaracktrack.core.target;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import org.tamaracktrack.core.config.Configuration;
import org.tamaracktrack.core.error.TamaracktrackException;
import org.tamaracktrack.core.id.AcceleratorId;
import org.tamaracktrack.core.id.OrderId;
import org.tamaracktrack.core.log.LogEntry;
import org.tamaracktrack.core.memory.MemoryLedger;
import org.tamaracktrack.core.target.PendingOrder.Stage;

/**
 * Decides which orders are sent to one engine, so that its memory is never overcommitted, even if
 * orders are lost or delayed, or this process or a predecessor is paused or killed.
 *
 * <p>If the engine checks fencing numbers, the owner first makes its number known to the engine;
 * from then on the engine rejects all orders of predecessors. Otherwise an intent record is
 * appended to the ownership stream for each order, and the order is sent only once the record has
 * been read back.
 */
public final class OrderController {
    private static final long FENCING_RETRY_MILLIS = 1_000;

    private final OrderSettings settings;
    private final OwnershipRegister ownership;
    private final MemoryLedger ledger = MemoryLedger.empty();
    private final Map<OrderId, PendingOrder> pendingOrders = new LinkedHashMap<>();
    private Optional<EngineInventory> inventory = Optional.empty();
    private Optional<HostTime> ownedSince = Optional.empty();
    private long ownedFirstFencing = -1;
    private boolean deposed;
    private boolean inventoryReadAsOwner;
    private boolean fencingSeenByEngine;
    private long fencingSentAtMillis = Long.MIN_VALUE / 2;
    private long ordersPossibleUntilWallMillis = Long.MIN_VALUE;
    private boolean breached;
    private long sequence;

    private OrderController(OrderSettings settings) {
        this.settings = settings;
        this.ownership = OwnershipRegister.of(settings.target());
    }

    /**
     * Returns a controller that does not own its target yet.
     *
     * @param settings the settings
     * @return the controller
     */
    public static OrderController of(OrderSettings settings) {
        Objects.requireNonNull(settings, "settings is null");
        return new OrderController(settings);
    }

    /**
     * Handles a message.
     *
     * @param message the message
     * @param now the current time
     * @return the actions to carry out, in order
     */
    public List<OrderAction> handle(OrderMessage message, HostTime now) {
        Objects.requireNonNull(message, "message is null");
        Objects.requireNonNull(now, "now is null");
        List<OrderAction> actions = new ArrayList<>();
        if (message instanceof OrderMessage.RecordRead read) {
            handleRecord(read, now, actions);
        } else if (message instanceof OrderMessage.RecordsMissed) {
            handleRecordsMissed(now);
        } else if (message instanceof OrderMessage.InventoryRead read) {
            handleInventory(read, actions);
        } else if (message instanceof OrderMessage.ChangeRequested wanted) {
            orderChange(wanted.change(), now, actions);
        } else if (message instanceof OrderMessage.NotSent notSent) {
            abandon(notSent.order(), actions);
        }
        abandonLateOrders(now, actions);
        sendFencingIfNeeded(now, actions);
        return actions;
    }

    private void handleRecord(
            OrderMessage.RecordRead read, HostTime now, List<OrderAction> actions) {
        ownership.handle(read.record());
        boolean owns = !deposed && ownership.owner().equals(Optional.of(settings.self()));
        if (owns && ownership.firstFencingOfOwner() != ownedFirstFencing) {
            gainOwnership(now);
        } else if (!owns && ownedSince.isPresent()) {
            loseOwnership(actions);
        }
        if (read.record().entry() instanceof LogEntry.OrderIntent intent) {
            sendIfIntentWritten(intent.order(), now, actions);
        }
    }

    // The append of a dead process may reach the log after that of its successor, so that the
    // successor loses ownership. As the younger process it takes ownership again. An older process
    // that was only paused must not do so, or the two would take ownership from each other
    // indefinitely.
    private void loseOwnership(List<OrderAction> actions) {
        ownedSince = Optional.empty();
        ownedFirstFencing = -1;
        forgetPreparedOrders();
        if (ownership.hasOwnerStartedAfter(settings.startedAtMillis())) {
            deposed = true;
            actions.add(new OrderAction.Deposed());
        }
    }

    // The inventory must be requested after the own ownership record was read: an order of the
    // predecessor may have been settled in between, and an older inventory would not show its
    // memory.
    private void gainOwnership(HostTime now) {
        ownedSince = Optional.of(now);
        ownedFirstFencing = ownership.firstFencingOfOwner();
        inventoryReadAsOwner = false;
        fencingSeenByEngine = false;
        ownership.intents().values().stream()
                .filter(intent -> !pendingOrders.containsKey(intent.order()))
                .forEach(this::inheritIntent);
    }

    // An order of a predecessor may take effect until its lifetime has passed. If its memory were
    // given to another model meanwhile, both would load and the engine would run out of memory.
    private void inheritIntent(LogEntry.OrderIntent intent) {
        pendingOrders.put(intent.order(), PendingOrder.inherited(intent));
        ledger.reserveInherited(intent.order(), intent.accelerator(), intent.reservedMebibytes());
    }

    private void forgetPreparedOrders() {
        pendingOrders.values().stream()
                .filter(order -> order.stage() == Stage.PREPARED)
                .map(PendingOrder::order)
                .toList()
                .forEach(this::forget);
    }

    private void forget(OrderId order) {
        pendingOrders.remove(order);
        ledger.release(order);
        ownership.forget(order);
    }

    // An intent may have been among the lost records, so nothing may be loaded until every order
    // that it could describe has expired.
    private void handleRecordsMissed(HostTime now) {
        ordersPossibleUntilWallMillis =
                now.wallMillis() + OrderSettings.LIFETIME_MILLIS + OrderSettings.MARGIN_MILLIS;
        inventoryReadAsOwner = false;
    }

    private void sendIfIntentWritten(OrderId id, HostTime now, List<OrderAction> actions) {
        PendingOrder order = pendingOrders.get(id);
        if (order == null || order.stage() != Stage.PREPARED || !ownership.hasIntent(id)) {
            return;
        }
        if (!order.isTooLateToSend(now)) {
            order.setStage(Stage.SENT);
            order.send().ifPresent(actions::add);
        }
    }

    private void handleInventory(OrderMessage.InventoryRead read, List<OrderAction> actions) {
        inventory = Optional.of(read.inventory());
        inventoryReadAsOwner = isRequestedAsOwner(read.requestedAt());
        fencingSeenByEngine =
                read.inventory().highestFencing() >= ownedFirstFencing && ownedFirstFencing >= 0;
        List.copyOf(pendingOrders.values())
                .forEach(order -> updateFromInventory(order, read, actions));
        commitMemory(read.inventory(), actions);
    }

    private boolean isRequestedAsOwner(HostTime requestedAt) {
        return ownedSince
                        .map(since -> requestedAt.monotonicMillis() >= since.monotonicMillis())
                        .orElse(false)
                && requestedAt.wallMillis() >= ordersPossibleUntilWallMillis;
    }

    private void updateFromInventory(
            PendingOrder order, OrderMessage.InventoryRead read, List<OrderAction> actions) {
        if (order.stage() == Stage.PREPARED) {
            return;
        }
        Optional<EngineInventory.Outcome> outcome = read.inventory().outcomeOf(order.order());
        if (outcome.equals(Optional.of(EngineInventory.Outcome.RUNNING))) {
            order.setStage(Stage.RUNNING);
            ledger.release(order.order());
        } else if (outcome.isPresent()) {
            settle(order, read.inventory(), actions);
        } else if (order.isVisibleIn(read.inventory())) {
            ledger.release(order.order());
            order.setStage(Stage.RUNNING);
        }
        if (outcome.isEmpty() && order.isExpiredFor(read.requestedAt())) {
            expire(order, read.inventory(), actions);
        }
    }

    private void settle(PendingOrder order, EngineInventory latest, List<OrderAction> actions) {
        boolean applied = order.isCompleteIn(latest);
        order.change().ifPresent(change -> actions.add(outcome(change, applied)));
        forget(order.order());
        if (!settings.checksFencing() && ownedSince.isPresent()) {
            actions.add(
                    new OrderAction.Append(
                            new LogEntry.OrderSettled(settings.target(), order.order())));
        }
    }

    private void expire(PendingOrder order, EngineInventory latest, List<OrderAction> actions) {
        boolean applied = order.isVisibleIn(latest);
        order.change().ifPresent(change -> actions.add(outcome(change, applied)));
        forget(order.order());
    }

    private static OrderAction outcome(ResidencyChange change, boolean applied) {
        return applied ? new OrderAction.Applied(change) : new OrderAction.NotApplied(change);
    }

    // No orders are sent while either failure lasts: an overcommitted engine must not become worse,
    // and if another process fills memory that is reserved here, this process is not the owner.
    private void commitMemory(EngineInventory latest, List<OrderAction> actions) {
        List<OrderAction> failures =
                settings.accelerators().stream()
                        .flatMap(accelerator -> commitMemory(accelerator, latest).stream())
                        .toList();
        if (!breached) {
            actions.addAll(failures);
        }
        breached = !failures.isEmpty();
    }

    private Optional<OrderAction> commitMemory(
            Configuration.Accelerator accelerator, EngineInventory latest) {
        Optional<EngineInventory.AcceleratorState> state =
                latest.accelerators().stream()
                        .filter(each -> each.name().equals(accelerator.id()))
                        .findFirst();
        long capacity =
                state.map(each -> Math.min(each.memoryMebibytes(), accelerator.memoryMebibytes()))
                        .orElse(0L);
        long weights = latest.weightsMebibytes(accelerator.id()) + accelerator.cacheMebibytes();
        long used = state.map(EngineInventory.AcceleratorState::usedMebibytes).orElse(0L);
        long committedMebibytes = state.isPresent() ? Math.max(weights, used) : 0;
        try {
            ledger.updateCommitted(accelerator.id(), capacity, committedMebibytes);
            return Optional.empty();
        } catch (TamaracktrackException failure) {
            return Optional.of(
                    committedMebibytes > capacity
                            ? new OrderAction.Breach(failure)
                            : new OrderAction.Contended(failure));
        }
    }

    private void orderChange(ResidencyChange change, HostTime now, List<OrderAction> actions) {
        if (!mayOrder() || isPending(change)) {
            return;
        }
        OrderId id = OrderId.of(settings.self() + "/" + sequence++);
        long reserved = change.kind().isLoad() ? change.mebibytes() : 0;
        if (!ledger.reserve(id, change.accelerator(), reserved)) {
            return;
        }
        OrderAction.Send send = send(orderFor(id, change, now), now);
        pendingOrders.put(id, PendingOrder.own(change, send, initialStage()));
        actions.add(settings.checksFencing() ? send : intentFor(send.order(), reserved));
    }

    private Stage initialStage() {
        return settings.checksFencing() ? Stage.SENT : Stage.PREPARED;
    }

    private EngineOrder orderFor(OrderId id, ResidencyChange change, HostTime now) {
        return new EngineOrder(
                id,
                ownership.fencing(),
                change.kind(),
                Optional.of(change.accelerator()),
                Optional.of(change.model()),
                change.adapter(),
                Optional.of(change.version()),
                change.mebibytes(),
                now.wallMillis(),
                OrderSettings.LIFETIME_MILLIS,
                Optional.empty());
    }

    private static OrderAction.Send send(EngineOrder order, HostTime now) {
        return new OrderAction.Send(
                order,
                HostTime.of(
                        now.monotonicMillis() + OrderSettings.SEND_WITHIN_MILLIS,
                        now.wallMillis() + OrderSettings.SEND_WITHIN_MILLIS));
    }

    private OrderAction intentFor(EngineOrder order, long reserved) {
        return new OrderAction.Append(
                new LogEntry.OrderIntent(
                        settings.target(),
                        order.fencing(),
                        order.orderId(),
                        order.accelerator().orElseThrow(),
                        order.model().orElseThrow(),
                        reserved,
                        order.issuedAtMillis(),
                        order.lifetimeMillis()));
    }

    private void abandon(OrderId id, List<OrderAction> actions) {
        PendingOrder order = pendingOrders.get(id);
        if (order == null || !order.isOwn()) {
            return;
        }
        boolean intended = ownership.hasIntent(id);
        forget(id);
        if (intended && ownedSince.isPresent()) {
            actions.add(new OrderAction.Append(new LogEntry.OrderSettled(settings.target(), id)));
        }
    }

    private void abandonLateOrders(HostTime now, List<OrderAction> actions) {
        pendingOrders.values().stream()
                .filter(order -> order.stage() == Stage.PREPARED)
                .filter(order -> order.isTooLateToSend(now))
                .map(PendingOrder::order)
                .toList()
                .forEach(order -> abandon(order, actions));
    }

    // Until the engine has received the new fencing number, it would carry out a pending order of a
    // predecessor, which this ledger doesn't know. An order that changes nothing makes the number
    // known.
    private void sendFencingIfNeeded(HostTime now, List<OrderAction> actions) {
        boolean needed = settings.checksFencing() && ownedSince.isPresent() && !fencingSeenByEngine;
        if (!needed
                || inventory.isEmpty()
                || now.monotonicMillis() - fencingSentAtMillis < FENCING_RETRY_MILLIS) {
            return;
        }
        fencingSentAtMillis = now.monotonicMillis();
        EngineOrder order =
                new EngineOrder(
                        OrderId.of(settings.self() + "/" + sequence++),
                        ownership.fencing(),
                        OrderKind.SET_ROLE,
                        Optional.empty(),
                        Optional.empty(),
                        Optional.empty(),
                        Optional.empty(),
                        0,
                        now.wallMillis(),
                        OrderSettings.LIFETIME_MILLIS,
                        Optional.ofNullable(inventory.get().role()));
        actions.add(send(order, now));
    }

    /**
     * Returns whether orders may be sent.
     *
     * @return true if this process owns the target, knows all orders that may still take effect,
     *     and memory is not overcommitted
     */
    public boolean mayOrder() {
        return ownedSince.isPresent()
                && inventoryReadAsOwner
                && !breached
                && (fencingSeenByEngine || !settings.checksFencing());
    }

    /**
     * Returns whether an order for the same model or adapter is pending.
     *
     * @param change the change
     * @return true if there is one
     */
    public boolean isPending(ResidencyChange change) {
        return pendingOrders.values().stream().anyMatch(order -> order.conflictsWith(change));
    }

    /**
     * Returns the changes that this process has ordered and whose outcome is not known yet.
     *
     * @return the changes
     */
    public List<ResidencyChange> pendingChanges() {
        return pendingOrders.values().stream().flatMap(order -> order.change().stream()).toList();
    }

    /**
     * Returns the memory that is neither committed nor reserved, by accelerator.
     *
     * @return the free memory in MiB
     */
    public Map<AcceleratorId, Long> free() {
        return ledger.free();
    }

    /**
     * Returns the inventory that was read last.
     *
     * @return the inventory; empty if none has been read
     */
    public Optional<EngineInventory> inventory() {
        return inventory;
    }

    /**
     * Returns whether this process owns the target according to the records read so far.
     *
     * @return true if it does; false if it has not yet taken ownership or has lost it
     */
    public boolean isOwner() {
        return ownedSince.isPresent();
    }
}
