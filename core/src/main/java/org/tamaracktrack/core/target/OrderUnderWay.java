package org.tamaracktrack.core.target;

import java.util.Optional;
import org.tamaracktrack.core.id.AcceleratorId;
import org.tamaracktrack.core.id.AdapterId;
import org.tamaracktrack.core.id.ModelId;
import org.tamaracktrack.core.id.OrderId;
import org.tamaracktrack.core.log.LogEntry;

/** An order whose outcome has not been seen, of this process or of a predecessor. */
final class OrderUnderWay {
    /** How far an order is. */
    enum Stage {
        /** Its intent is being written; nothing has been sent. */
        PREPARED,
        /** It may have been sent, and may yet take effect. */
        SENT,
        /** The engine has listed it as running, so its memory shows in the inventory. */
        RUNNING
    }

    private final OrderId order;
    private final AcceleratorId accelerator;
    private final ModelId model;
    private final Optional<AdapterId> adapter;
    private final Optional<Change> change;
    private final Optional<OrderAction.Send> send;
    private final long expiresAtWallMillis;
    private Stage stage;

    private OrderUnderWay(
            OrderId order,
            AcceleratorId accelerator,
            ModelId model,
            Optional<AdapterId> adapter,
            Optional<Change> change,
            Optional<OrderAction.Send> send,
            long expiresAtWallMillis,
            Stage stage) {
        this.order = order;
        this.accelerator = accelerator;
        this.model = model;
        this.adapter = adapter;
        this.change = change;
        this.send = send;
        this.expiresAtWallMillis = expiresAtWallMillis;
        this.stage = stage;
    }

    static OrderUnderWay own(Change change, OrderAction.Send send, Stage stage) {
        EngineOrder order = send.order();
        return new OrderUnderWay(
                order.orderId(),
                change.accelerator(),
                change.model(),
                change.adapter(),
                Optional.of(change),
                Optional.of(send),
                order.issuedAtMillis() + order.lifetimeMillis() + OrderSettings.MARGIN_MILLIS,
                stage);
    }

    static OrderUnderWay inherited(LogEntry.OrderIntent intent) {
        return new OrderUnderWay(
                intent.order(),
                intent.accelerator(),
                intent.model(),
                Optional.empty(),
                Optional.empty(),
                Optional.empty(),
                intent.issuedAtMillis() + intent.lifetimeMillis() + OrderSettings.MARGIN_MILLIS,
                Stage.SENT);
    }

    OrderId order() {
        return order;
    }

    Optional<Change> change() {
        return change;
    }

    Optional<OrderAction.Send> send() {
        return send;
    }

    Stage stage() {
        return stage;
    }

    void moveTo(Stage next) {
        stage = next;
    }

    boolean isOwn() {
        return change.isPresent();
    }

    // Two orders on the same model could take effect in the other order than they were sent.
    boolean concerns(Change other) {
        return accelerator.equals(other.accelerator())
                && model.equals(other.model())
                && (adapter.isEmpty()
                        || other.adapter().isEmpty()
                        || adapter.equals(other.adapter()));
    }

    // An inventory that was asked for before the order expired may have been taken just before the
    // order took effect; one asked for afterwards shows all that the order will ever do.
    boolean isExpiredFor(Moment inventoryRequestedAt) {
        return inventoryRequestedAt.wallMillis() >= expiresAtWallMillis;
    }

    boolean isTooLateToSend(Moment now) {
        return send.map(each -> !each.isTimely(now)).orElse(false);
    }

    // The engine's list of recent orders is bounded, so a load may show in its memory only.
    boolean showsIn(EngineInventory inventory) {
        return change.filter(wanted -> wanted.kind().isLoad())
                .map(
                        wanted ->
                                inventory.copiesOf(wanted.model()).stream()
                                        .filter(copy -> copy.accelerator().equals(accelerator))
                                        .anyMatch(copy -> shows(wanted, copy)))
                .orElse(false);
    }

    private static boolean shows(Change wanted, EngineInventory.ModelState copy) {
        if (wanted.adapter().isEmpty()) {
            return copy.version().equals(wanted.version())
                    && copy.state() != EngineInventory.Residence.UNLOADING;
        }
        return copy.adapters().stream()
                .filter(each -> wanted.adapter().equals(Optional.of(each.adapter())))
                .filter(each -> each.version().equals(wanted.version()))
                .anyMatch(each -> each.state() != EngineInventory.Residence.UNLOADING);
    }

    boolean isCompleteIn(EngineInventory inventory) {
        return inventory
                .outcomeOf(order)
                .map(outcome -> outcome == EngineInventory.Outcome.DONE)
                .orElse(false);
    }
}
