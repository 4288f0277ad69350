package org.tamaracktrack.standins.engine;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;
import org.tamaracktrack.standins.engine.OrderBook.Verdict;

class OrderBookTest {

    private static EngineOrder order(String id, long fencing) {
        return new EngineOrder(
                id, fencing, EngineOrder.Kind.UNLOAD_MODEL, "a0", "m", null, "1", 1, 100, 50, null);
    }

    @Test
    void shouldRefuseAnOldFencingNumberWhenItChecks() {
        OrderBook book = OrderBook.of(true);
        assertThat(book.decide(order("a", 7), 100)).isEqualTo(Verdict.CARRY_OUT);
        assertThat(book.decide(order("b", 6), 100)).isEqualTo(Verdict.FENCED);
        assertThat(book.decide(order("c", 7), 100)).isEqualTo(Verdict.CARRY_OUT);
    }

    @Test
    void shouldTakeAnOldFencingNumberWhenItDoesNotCheck() {
        OrderBook book = OrderBook.of(false);
        book.decide(order("a", 7), 100);
        assertThat(book.decide(order("b", 6), 100)).isEqualTo(Verdict.CARRY_OUT);
        assertThat(book.highestFencing()).isEqualTo(7);
    }

    @Test
    void shouldIgnoreAnOrderAfterItsLifetime() {
        OrderBook book = OrderBook.of(false);
        assertThat(book.decide(order("a", 1), 150)).isEqualTo(Verdict.CARRY_OUT);
        assertThat(book.decide(order("b", 1), 151)).isEqualTo(Verdict.EXPIRED);
        assertThat(book.recent()).contains(new Inventory.OrderState("b", "ignored"));
    }

    @Test
    void shouldCarryOutAnOrderOnce() {
        OrderBook book = OrderBook.of(false);
        book.decide(order("a", 1), 100);
        assertThat(book.decide(order("a", 1), 100)).isEqualTo(Verdict.SEEN);
    }
}
