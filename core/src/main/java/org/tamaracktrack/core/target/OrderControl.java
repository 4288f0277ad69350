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
import org.tamaracktrack.core.target.OrderUnderWay.Stage;

/**
 * Sends orders to one engine so that its memory is never overcommitted, whatever becomes of the
 * orders, of this process and of its predecessors.
 *
 * <p>Towards an engine that checks fencing numbers, the owner first makes the engine see its
 * number; from then on nothing that a predecessor sent can take effect. Towards an engine that
 * ignores them, an intent record precedes each order, and is read back before the order is sent.
 */
public final class OrderControl {
    private static final long FENCE_AGAIN_MILLIS = 1_000;

    private final OrderSettings settings;
    private final OwnershipRegister ownership;
    private final MemoryLedger ledger = MemoryLedger.empty();
    private final Map<OrderId, OrderUnderWay> underWay = new LinkedHashMap<>();
    private Optional<EngineInventory> inventory = Optional.empty();
    private Optional<Moment> ownedSince = Optional.empty();
    private long ownedFromFencing = -1;
    private boolean deposed;
    private boolean inventoryIsOwn;
    private boolean fenceSeen;
    private long fencedAtMillis = Long.MIN_VALUE / 2;
    private long heldUntilWallMillis = Long.MIN_VALUE;
    private boolean breached;
    private long sequence;

    private OrderControl(OrderSettings settings) {
        this.settings = settings;
        this.ownership = OwnershipRegister.of(settings.target());
    }

    /**
     * Returns order control that does not own its target yet.
     *
     * @param settings what it knows from the start
     * @return order control
     */
    public static OrderControl of(OrderSettings settings) {
        Objects.requireNonNull(settings, "settings is null");
        return new OrderControl(settings);
    }

    /**
     * Takes a message.
     *
     * @param message what happened
     * @param now the time
     * @return what to do, in order
     */
    public List<OrderAction> handle(OrderMessage message, Moment now) {
        Objects.requireNonNull(message, "message is null");
        Objects.requireNonNull(now, "now is null");
        List<OrderAction> actions = new ArrayList<>();
        if (message instanceof OrderMessage.RecordRead read) {
            recordRead(read, now, actions);
        } else if (message instanceof OrderMessage.RecordsMissed) {
            recordsMissed(now);
        } else if (message instanceof OrderMessage.InventoryRead read) {
            inventoryRead(read, actions);
        } else if (message instanceof OrderMessage.Wanted wanted) {
            wanted(wanted.change(), now, actions);
        } else if (message instanceof OrderMessage.NotSent notSent) {
            giveUp(notSent.order(), actions);
        }
        giveUpWhatIsTooLate(now, actions);
        fenceIfNeeded(now, actions);
        return actions;
    }

    private void recordRead(OrderMessage.RecordRead read, Moment now, List<OrderAction> actions) {
        ownership.handle(read.record());
        boolean owns = !deposed && ownership.owner().equals(Optional.of(settings.self()));
        if (owns && ownership.firstFencingOfOwner() != ownedFromFencing) {
            takeOver(now);
        } else if (!owns && ownedSince.isPresent()) {
            lose(actions);
        }
        if (read.record().entry() instanceof LogEntry.OrderIntent intent) {
            sendIfIntended(intent.order(), now, actions);
        }
    }

    // An append of a process that died may reach the log after its successor's. The successor then
    // loses the target to nobody; being the younger one it takes it again. The older one, should it
    // have been paused only, must not, or the two would take it from each other for ever.
    private void lose(List<OrderAction> actions) {
        ownedSince = Optional.empty();
        ownedFromFencing = -1;
        dropPrepared();
        if (ownership.isOwnerYoungerThan(settings.startedAtMillis())) {
            deposed = true;
            actions.add(new OrderAction.Deposed());
        }
    }

    // The inventory must be asked for after the own record was read: an order of the predecessor
    // may have been settled by it in between, and an older inventory would not show its memory.
    private void takeOver(Moment now) {
        ownedSince = Optional.of(now);
        ownedFromFencing = ownership.firstFencingOfOwner();
        inventoryIsOwn = false;
        fenceSeen = false;
        ownership.intents().values().stream()
                .filter(intent -> !underWay.containsKey(intent.order()))
                .forEach(this::inherit);
    }

    // A predecessor's order may take effect until its lifetime has passed. If its memory were given
    // to another model meanwhile, both would load and the engine would run out of memory.
    private void inherit(LogEntry.OrderIntent intent) {
        underWay.put(intent.order(), OrderUnderWay.inherited(intent));
        ledger.inherit(intent.order(), intent.accelerator(), intent.reservedMebibytes());
    }

    private void dropPrepared() {
        underWay.values().stream()
                .filter(order -> order.stage() == Stage.PREPARED)
                .map(OrderUnderWay::order)
                .toList()
                .forEach(this::forget);
    }

    private void forget(OrderId order) {
        underWay.remove(order);
        ledger.release(order);
        ownership.forget(order);
    }

    // An intent may have been among the lost records, so every order that it could be about must
    // have expired before anything is loaded.
    private void recordsMissed(Moment now) {
        heldUntilWallMillis =
                now.wallMillis() + OrderSettings.LIFETIME_MILLIS + OrderSettings.MARGIN_MILLIS;
        inventoryIsOwn = false;
    }

    private void sendIfIntended(OrderId id, Moment now, List<OrderAction> actions) {
        OrderUnderWay order = underWay.get(id);
        if (order == null || order.stage() != Stage.PREPARED || !ownership.isIntended(id)) {
            return;
        }
        if (!order.isTooLateToSend(now)) {
            order.moveTo(Stage.SENT);
            order.send().ifPresent(actions::add);
        }
    }

    private void inventoryRead(OrderMessage.InventoryRead read, List<OrderAction> actions) {
        inventory = Optional.of(read.inventory());
        inventoryIsOwn = isAskedForAsOwner(read.requestedAt());
        fenceSeen = read.inventory().highestFencing() >= ownedFromFencing && ownedFromFencing >= 0;
        List.copyOf(underWay.values()).forEach(order -> observe(order, read, actions));
        commit(read.inventory(), actions);
    }

    private boolean isAskedForAsOwner(Moment requestedAt) {
        return ownedSince
                        .map(since -> requestedAt.monotonicMillis() >= since.monotonicMillis())
                        .orElse(false)
                && requestedAt.wallMillis() >= heldUntilWallMillis;
    }

    private void observe(
            OrderUnderWay order, OrderMessage.InventoryRead read, List<OrderAction> actions) {
        if (order.stage() == Stage.PREPARED) {
            return;
        }
        Optional<EngineInventory.Outcome> outcome = read.inventory().outcomeOf(order.order());
        if (outcome.equals(Optional.of(EngineInventory.Outcome.RUNNING))) {
            order.moveTo(Stage.RUNNING);
            ledger.release(order.order());
        } else if (outcome.isPresent()) {
            settle(order, read.inventory(), actions);
        } else if (order.showsIn(read.inventory())) {
            ledger.release(order.order());
            order.moveTo(Stage.RUNNING);
        }
        if (outcome.isEmpty() && order.isExpiredFor(read.requestedAt())) {
            expire(order, read.inventory(), actions);
        }
    }

    private void settle(OrderUnderWay order, EngineInventory seen, List<OrderAction> actions) {
        boolean moved = order.isCompleteIn(seen);
        order.change().ifPresent(change -> actions.add(outcome(change, moved)));
        forget(order.order());
        if (!settings.checksFencing() && ownedSince.isPresent()) {
            actions.add(
                    new OrderAction.Append(
                            new LogEntry.OrderSettled(settings.target(), order.order())));
        }
    }

    private void expire(OrderUnderWay order, EngineInventory seen, List<OrderAction> actions) {
        boolean moved = order.showsIn(seen);
        order.change().ifPresent(change -> actions.add(outcome(change, moved)));
        forget(order.order());
    }

    private static OrderAction outcome(Change change, boolean moved) {
        return moved ? new OrderAction.Moved(change) : new OrderAction.NotMoved(change);
    }

    // Nothing more is ordered while either holds: an overcommitted engine must not get worse, and a
    // process whose reserved memory another has filled is not the owner it believes to be.
    private void commit(EngineInventory seen, List<OrderAction> actions) {
        List<OrderAction> failures =
                settings.accelerators().stream()
                        .flatMap(accelerator -> commit(accelerator, seen).stream())
                        .toList();
        if (!breached) {
            actions.addAll(failures);
        }
        breached = !failures.isEmpty();
    }

    private Optional<OrderAction> commit(
            Configuration.Accelerator accelerator, EngineInventory seen) {
        Optional<EngineInventory.AcceleratorState> state =
                seen.accelerators().stream()
                        .filter(each -> each.name().equals(accelerator.id()))
                        .findFirst();
        long capacity =
                state.map(each -> Math.min(each.memoryMebibytes(), accelerator.memoryMebibytes()))
                        .orElse(0L);
        long weights = seen.weightsMebibytes(accelerator.id()) + accelerator.cacheMebibytes();
        long used = state.map(EngineInventory.AcceleratorState::usedMebibytes).orElse(0L);
        long committed = state.isPresent() ? Math.max(weights, used) : 0;
        try {
            ledger.commit(accelerator.id(), capacity, committed);
            return Optional.empty();
        } catch (TamaracktrackException failure) {
            return Optional.of(
                    committed > capacity
                            ? new OrderAction.Breach(failure)
                            : new OrderAction.Contended(failure));
        }
    }

    private void wanted(Change change, Moment now, List<OrderAction> actions) {
        if (!mayOrder() || isUnderWay(change)) {
            return;
        }
        OrderId id = OrderId.of(settings.self() + "/" + sequence++);
        long reserved = change.kind().isLoad() ? change.mebibytes() : 0;
        if (!ledger.reserve(id, change.accelerator(), reserved)) {
            return;
        }
        OrderAction.Send send = send(orderFor(id, change, now), now);
        underWay.put(id, OrderUnderWay.own(change, send, stageFirst()));
        actions.add(settings.checksFencing() ? send : intend(send.order(), reserved));
    }

    private Stage stageFirst() {
        return settings.checksFencing() ? Stage.SENT : Stage.PREPARED;
    }

    private EngineOrder orderFor(OrderId id, Change change, Moment now) {
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

    private static OrderAction.Send send(EngineOrder order, Moment now) {
        return new OrderAction.Send(
                order,
                Moment.of(
                        now.monotonicMillis() + OrderSettings.SEND_WITHIN_MILLIS,
                        now.wallMillis() + OrderSettings.SEND_WITHIN_MILLIS));
    }

    private OrderAction intend(EngineOrder order, long reserved) {
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

    private void giveUp(OrderId id, List<OrderAction> actions) {
        OrderUnderWay order = underWay.get(id);
        if (order == null || !order.isOwn()) {
            return;
        }
        boolean intended = ownership.isIntended(id);
        forget(id);
        if (intended && ownedSince.isPresent()) {
            actions.add(new OrderAction.Append(new LogEntry.OrderSettled(settings.target(), id)));
        }
    }

    private void giveUpWhatIsTooLate(Moment now, List<OrderAction> actions) {
        underWay.values().stream()
                .filter(order -> order.stage() == Stage.PREPARED)
                .filter(order -> order.isTooLateToSend(now))
                .map(OrderUnderWay::order)
                .toList()
                .forEach(order -> giveUp(order, actions));
    }

    // Until the engine has seen the new number, a predecessor's order that is still under way would
    // be carried out, unknown to this ledger. An order that changes nothing shows it the number.
    private void fenceIfNeeded(Moment now, List<OrderAction> actions) {
        boolean needed = settings.checksFencing() && ownedSince.isPresent() && !fenceSeen;
        if (!needed
                || inventory.isEmpty()
                || now.monotonicMillis() - fencedAtMillis < FENCE_AGAIN_MILLIS) {
            return;
        }
        fencedAtMillis = now.monotonicMillis();
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
     * @return true when this process owns the target and knows what may be under way
     */
    public boolean mayOrder() {
        return ownedSince.isPresent()
                && inventoryIsOwn
                && !breached
                && (fenceSeen || !settings.checksFencing());
    }

    /**
     * Returns whether an order on the same model, or on the same adapter, is under way.
     *
     * @param change the change
     * @return true when there is one
     */
    public boolean isUnderWay(Change change) {
        return underWay.values().stream().anyMatch(order -> order.concerns(change));
    }

    /**
     * Returns the changes that this process has ordered and not yet seen the outcome of.
     *
     * @return the changes
     */
    public List<Change> changesUnderWay() {
        return underWay.values().stream().flatMap(order -> order.change().stream()).toList();
    }

    /**
     * Returns how much memory is neither committed nor reserved, for each accelerator.
     *
     * @return the free memory
     */
    public Map<AcceleratorId, Long> free() {
        return ledger.free();
    }

    /**
     * Returns the last inventory.
     *
     * @return the inventory, if one was read
     */
    public Optional<EngineInventory> inventory() {
        return inventory;
    }

    /**
     * Returns whether this process owns the target, as far as it has read.
     *
     * @return true when it does; false when it has yet to take the target, or to take it again
     */
    public boolean isOwner() {
        return ownedSince.isPresent();
    }
}
