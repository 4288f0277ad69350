package org.tamaracktrack.daemon.copies;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.Test;
import org.tamaracktrack.core.copies.EngineReport;
import org.tamaracktrack.core.copies.PlacementOrder;
import org.tamaracktrack.core.fleet.TargetAddress;
import org.tamaracktrack.core.fleet.TargetEntry;
import org.tamaracktrack.core.fleet.TargetIncarnation;
import org.tamaracktrack.core.id.DataCentreId;
import org.tamaracktrack.core.id.ModelId;
import org.tamaracktrack.core.id.ServiceId;
import org.tamaracktrack.core.id.SoftwareVersion;
import org.tamaracktrack.core.id.TargetId;

/** Orders and requests for reports to engines that have asked for a rest. */
class RestAwareOrdersTest {
    private static final TargetEntry ENGINE =
            new TargetEntry(
                    new TargetIncarnation(TargetId.of("e1"), 0),
                    ServiceId.of("engines"),
                    SoftwareVersion.of("v1"),
                    new TargetAddress("127.0.0.1", 9),
                    DataCentreId.of("home"),
                    8,
                    false,
                    1,
                    Map.of(),
                    Set.of(),
                    Set.of());
    private static final EngineOrders.Authority AUTHORITY = new EngineOrders.Authority(1, 0);

    private final List<BooleanSupplier> orders = new ArrayList<>();
    private final List<TargetEntry> reports = new ArrayList<>();
    private boolean resting;
    private final EngineOrders restAware = RestAwareOrders.of(new RecordingOrders(), e -> resting);

    /** Leaves each order waiting for its connection. */
    private final class RecordingOrders implements EngineOrders {
        @Override
        public CompletableFuture<Outcome> send(
                TargetEntry target,
                PlacementOrder order,
                Authority authority,
                BooleanSupplier maySend) {
            orders.add(maySend);
            return new CompletableFuture<>();
        }

        @Override
        public CompletableFuture<Optional<EngineReport>> report(TargetEntry target) {
            reports.add(target);
            return new CompletableFuture<>();
        }
    }

    private CompletableFuture<EngineOrders.Outcome> sendOrder(boolean leaseHeld) {
        PlacementOrder order =
                new PlacementOrder(ENGINE.incarnation(), true, ModelId.of("m0"), Optional.empty());
        return restAware.send(ENGINE, order, AUTHORITY, () -> leaseHeld);
    }

    @Test
    void shouldSendNothingWhenEngineRests() {
        resting = true;

        assertThat(sendOrder(true).join()).isEqualTo(EngineOrders.Outcome.NOT_SENT);
        assertThat(restAware.report(ENGINE).join()).isEmpty();
        assertThat(orders).isEmpty();
        assertThat(reports).isEmpty();
    }

    // Guards against an order that waits for a connection while its engine asks for a rest.
    @Test
    void shouldNotSendOrderWhenEngineAsksForRestWhileConnectionOpens() {
        sendOrder(true);

        resting = true;

        assertThat(orders.get(0).getAsBoolean()).isFalse();
    }

    @Test
    void shouldSendOrderOnlyWhenLeaseIsHeldAndEngineDoesNotRest() {
        sendOrder(true);
        sendOrder(false);
        restAware.report(ENGINE);

        assertThat(orders.get(0).getAsBoolean()).isTrue();
        assertThat(orders.get(1).getAsBoolean()).isFalse();
        assertThat(reports).containsExactly(ENGINE);
    }
}
