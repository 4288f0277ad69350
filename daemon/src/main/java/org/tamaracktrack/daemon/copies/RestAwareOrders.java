package org.tamaracktrack.daemon.copies;

import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import java.util.function.Predicate;
import org.tamaracktrack.core.copies.EngineReport;
import org.tamaracktrack.core.copies.PlacementOrder;
import org.tamaracktrack.core.fleet.TargetEntry;

/** Sends nothing to engines that have asked this daemon for a rest. */
public final class RestAwareOrders implements EngineOrders {
    private final EngineOrders orders;
    private final Predicate<TargetEntry> resting;

    private RestAwareOrders(EngineOrders orders, Predicate<TargetEntry> resting) {
        this.orders = orders;
        this.resting = resting;
    }

    /**
     * Returns orders that respect rests.
     *
     * @param orders sends what may be sent
     * @param resting returns whether an engine rests; called on any thread
     * @return the orders
     */
    public static RestAwareOrders of(EngineOrders orders, Predicate<TargetEntry> resting) {
        Objects.requireNonNull(orders, "orders is null");
        Objects.requireNonNull(resting, "resting is null");
        return new RestAwareOrders(orders, resting);
    }

    @Override
    public CompletableFuture<Outcome> send(
            TargetEntry target,
            PlacementOrder order,
            Authority authority,
            BooleanSupplier maySend) {
        return resting.test(target)
                ? CompletableFuture.completedFuture(Outcome.NOT_SENT)
                : orders.send(
                        target,
                        order,
                        authority,
                        () -> !resting.test(target) && maySend.getAsBoolean());
    }

    @Override
    public CompletableFuture<Optional<EngineReport>> report(TargetEntry target) {
        return resting.test(target)
                ? CompletableFuture.completedFuture(Optional.empty())
                : orders.report(target);
    }
}
