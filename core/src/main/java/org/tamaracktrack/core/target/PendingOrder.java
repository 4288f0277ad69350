package org.tamaracktrack.core.target;

import java.util.Optional;
import org.tamaracktrack.core.id.AcceleratorId;
import org.tamaracktrack.core.id.AdapterId;
import org.tamaracktrack.core.id.ModelId;
import org.tamaracktrack.core.id.OrderId;
import org.tamaracktrack.core.log.LogEntry;

/** An order of this process or of a predecessor whose outcome is not known yet. */
final class PendingOrder {
    /** The progress of an order. */
    enum Stage {
        /** The intent is being written; the order has not been sent. */
        PREPARED,
        /** The order may have been sent and may still take effect. */
        SENT,
        /** The engine reports the order as running, so the inventory includes its memory. */
        RUNNING
    }

    private final OrderId order;
    private final AcceleratorId accelerator;
    private final ModelId model;
    private final Optional<AdapterId> adapter;
    private final Optional<ResidencyChange> change;
    private final Optional<OrderAction.Send> send;
    private final long expiresAtWallMillis;
    private Stage stage;

    private PendingOrder(
            OrderId order,
            AcceleratorId accelerator,
            ModelId model,
            Optional<AdapterId> adapter,
            Optional<ResidencyChange> change,
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

    static PendingOrder own(ResidencyChange change, OrderAction.Send send, Stage stage) {
        EngineOrder order = send.order();
        return new PendingOrder(
                order.orderId(),
                change.accelerator(),
                change.model(),
                change.adapter(),
                Optional.of(change),
                Optional.of(send),
                order.issuedAtMillis() + order.lifetimeMillis() + OrderSettings.MARGIN_MILLIS,
                stage);
    }

    static PendingOrder inherited(LogEntry.OrderIntent intent) {
        return new PendingOrder(
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

    Optional<ResidencyChange> change() {
        return change;
    }

    Optional<OrderAction.Send> send() {
        return send;
    }

    Stage stage() {
        return stage;
    }

    void setStage(Stage next) {
        stage = next;
    }

    boolean isOwn() {
        return change.isPresent();
    }

    // Two orders for the same model could take effect in a different order than they were sent.
    boolean conflictsWith(ResidencyChange other) {
        return accelerator.equals(other.accelerator())
                && model.equals(other.model())
                && (adapter.isEmpty()
                        || other.adapter().isEmpty()
                        || adapter.equals(other.adapter()));
    }

    // An inventory that was requested before the order expired may have been taken just before the
    // order took effect; one requested afterwards includes its final effect.
    boolean isExpiredFor(HostTime inventoryRequestedAt) {
        return inventoryRequestedAt.wallMillis() >= expiresAtWallMillis;
    }

    boolean isTooLateToSend(HostTime now) {
        return send.map(each -> !each.isTimely(now)).orElse(false);
    }

    // The engine's list of recent orders is bounded, so a load may be visible only in its memory.
    boolean isVisibleIn(EngineInventory inventory) {
        return change.filter(load -> load.kind().isLoad())
                .map(
                        load ->
                                inventory.copiesOf(load.model()).stream()
                                        .filter(copy -> copy.accelerator().equals(accelerator))
                                        .anyMatch(copy -> isVisible(load, copy)))
                .orElse(false);
    }

    private static boolean isVisible(ResidencyChange load, EngineInventory.ModelState copy) {
        if (load.adapter().isEmpty()) {
            return copy.version().equals(load.version())
                    && copy.state() != EngineInventory.Residence.UNLOADING;
        }
        return copy.adapters().stream()
                .filter(each -> load.adapter().equals(Optional.of(each.adapter())))
                .filter(each -> each.version().equals(load.version()))
                .anyMatch(each -> each.state() != EngineInventory.Residence.UNLOADING);
    }

    boolean isCompleteIn(EngineInventory inventory) {
        return inventory
                .outcomeOf(order)
                .map(outcome -> outcome == EngineInventory.Outcome.DONE)
                .orElse(false);
    }
}
