package org.tamaracktrack.daemon.copies;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import org.tamaracktrack.core.copies.EngineReport;
import org.tamaracktrack.core.copies.PlacementOrder;
import org.tamaracktrack.core.fleet.TargetEntry;

/** Sends orders to load and unload models to engines, and queries their state. Never retries. */
public interface EngineOrders {

    /** The outcome of an order. */
    enum Outcome {
        /** The engine executes the order, or has executed it. */
        ACCEPTED,
        /**
         * The engine rejected the order: another order is in progress, or the number of orders that
         * it has accepted is not the expected one.
         */
        NOT_TAKEN,
        /** The order was not sent. */
        NOT_SENT,
        /** No answer was received: the engine may have accepted the order, or may yet accept it. */
        UNKNOWN
    }

    /**
     * The conditions under which an engine may accept an order.
     *
     * @param term the fencing number of the sender
     * @param expectedOrders how many orders the engine must have accepted before this one
     */
    record Authority(long term, long expectedOrders) {}

    /**
     * Sends an order.
     *
     * @param target the engine
     * @param order the order
     * @param authority the conditions under which the engine may accept it
     * @param maySend evaluated once, right before the first byte is sent; the order is sent only if
     *     it returns true
     * @return the outcome; the future never completes exceptionally
     */
    CompletableFuture<Outcome> send(
            TargetEntry target, PlacementOrder order, Authority authority, BooleanSupplier maySend);

    /**
     * Requests the state of an engine.
     *
     * @param target the engine
     * @return its report; empty when no readable report was received
     */
    CompletableFuture<Optional<EngineReport>> report(TargetEntry target);
}
