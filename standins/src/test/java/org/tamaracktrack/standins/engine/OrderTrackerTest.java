package org.tamaracktrack.standins.engine;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;
import org.tamaracktrack.standins.engine.OrderTracker.Decision;

class OrderTrackerTest {

    private static EngineOrder order(String id, long fencing) {
        return new EngineOrder(
                id, fencing, EngineOrder.Kind.UNLOAD_MODEL, "a0", "m", null, "1", 1, 100, 50, null);
    }

    @Test
    void shouldRefuseAnOldFencingNumberWhenFencingIsChecked() {
        OrderTracker tracker = OrderTracker.of(true);
        assertThat(tracker.decide(order("a", 7), 100)).isEqualTo(Decision.CARRY_OUT);
        assertThat(tracker.decide(order("b", 6), 100)).isEqualTo(Decision.FENCED);
        assertThat(tracker.decide(order("c", 7), 100)).isEqualTo(Decision.CARRY_OUT);
    }

    @Test
    void shouldAcceptAnOldFencingNumberWhenFencingIsNotChecked() {
        OrderTracker tracker = OrderTracker.of(false);
        tracker.decide(order("a", 7), 100);
        assertThat(tracker.decide(order("b", 6), 100)).isEqualTo(Decision.CARRY_OUT);
        assertThat(tracker.highestFencing()).isEqualTo(7);
    }

    @Test
    void shouldIgnoreAnOrderAfterItsLifetime() {
        OrderTracker tracker = OrderTracker.of(false);
        assertThat(tracker.decide(order("a", 1), 150)).isEqualTo(Decision.CARRY_OUT);
        assertThat(tracker.decide(order("b", 1), 151)).isEqualTo(Decision.EXPIRED);
        assertThat(tracker.recentOrders()).contains(new Inventory.OrderState("b", "ignored"));
    }

    @Test
    void shouldExecuteAnOrderOnlyOnce() {
        OrderTracker tracker = OrderTracker.of(false);
        tracker.decide(order("a", 1), 100);
        assertThat(tracker.decide(order("a", 1), 100)).isEqualTo(Decision.SEEN);
    }
}
