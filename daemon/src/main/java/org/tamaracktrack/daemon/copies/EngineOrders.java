package org.tamaracktrack.daemon.copies;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import org.tamaracktrack.core.copies.EngineReport;
import org.tamaracktrack.core.copies.PlacementOrder;
import org.tamaracktrack.core.fleet.TargetEntry;

/** Calls to engines about what they hold. Each is sent once. */
public interface EngineOrders {

    /** What became of an order. */
    enum Outcome {
        /** The engine carries it out, or has done so. */
        ACCEPTED,
        /**
         * The engine did not take it: another is in progress, or it counted other orders before.
         */
        NOT_TAKEN,
        /** Nothing was sent. */
        NOT_SENT,
        /** No answer came: it may have been accepted, or may be seconds later. */
        UNKNOWN
    }

    /**
     * Who gives an order, and when the engine may take it.
     *
     * @param term the giver's fencing number
     * @param expectedOrders how many orders the engine must have accepted before
     */
    record Authority(long term, long expectedOrders) {}

    /**
     * Sends an order.
     *
     * @param target the engine
     * @param order the order
     * @param authority who gives it
     * @param maySend asked once, right before the first byte is sent
     * @return what became of it; never fails
     */
    CompletableFuture<Outcome> send(
            TargetEntry target, PlacementOrder order, Authority authority, BooleanSupplier maySend);

    /**
     * Asks an engine what it holds.
     *
     * @param target the engine
     * @return its report; empty when none came that can be read
     */
    CompletableFuture<Optional<EngineReport>> report(TargetEntry target);
}
