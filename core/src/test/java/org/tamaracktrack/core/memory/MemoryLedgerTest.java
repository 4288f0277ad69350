package org.tamaracktrack.core.memory;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.Arrays;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.tamaracktrack.core.error.ErrorCode;
import org.tamaracktrack.core.error.TamaracktrackException;
import org.tamaracktrack.core.id.AcceleratorId;
import org.tamaracktrack.core.id.OrderId;

class MemoryLedgerTest {
    private static final AcceleratorId ACCELERATOR = AcceleratorId.of("a0");

    @Property(seed = "2718", tries = 500)
    void shouldNeverReserveMoreThanTheCapacityWhenOrdersAreRandom(@ForAll long schedule) {
        Random random = new Random(schedule);
        MemoryLedger ledger = MemoryLedger.empty();
        ledger.updateCommitted(ACCELERATOR, 100, 20);
        long[] reserved = new long[40];

        for (int turn = 0; turn < 200; turn++) {
            int index = random.nextInt(reserved.length);
            OrderId order = OrderId.of("o" + index);
            if (reserved[index] > 0) {
                ledger.release(order);
                reserved[index] = 0;
            } else {
                long requested = random.nextInt(60);
                reserved[index] = ledger.reserve(order, ACCELERATOR, requested) ? requested : 0;
            }
            long sum = Arrays.stream(reserved).sum();
            assertThat(sum).isAtMost(80);
            assertThat(ledger.free(ACCELERATOR)).isEqualTo(80 - sum);
        }
    }

    @Test
    void shouldReserveNothingWhenTheAcceleratorIsNotKnown() {
        assertThat(MemoryLedger.empty().reserve(OrderId.of("o"), ACCELERATOR, 1)).isFalse();
    }

    @Test
    void shouldReportABreachAndNoFreeMemoryWhenTheEngineUsesReservedMemory() {
        MemoryLedger ledger = MemoryLedger.empty();
        ledger.updateCommitted(ACCELERATOR, 100, 0);
        ledger.reserve(OrderId.of("o"), ACCELERATOR, 60);

        TamaracktrackException failure =
                assertThrows(
                        TamaracktrackException.class,
                        () -> ledger.updateCommitted(ACCELERATOR, 100, 50));

        assertThat(failure.code()).isEqualTo(ErrorCode.INVARIANT_BREACH);
        assertThat(ledger.free(ACCELERATOR)).isEqualTo(0);
    }

    // The engine may already report the memory of a predecessor's order, which is then counted
    // twice.
    @Test
    void shouldReserveMemoryOfAnInheritedOrderWhenThereIsNoRoom() {
        MemoryLedger ledger = MemoryLedger.empty();
        ledger.updateCommitted(ACCELERATOR, 100, 80);
        ledger.reserveInherited(OrderId.of("o"), ACCELERATOR, 60);

        assertThat(ledger.free(ACCELERATOR)).isEqualTo(0);
        ledger.release(OrderId.of("o"));
        assertThat(ledger.free(ACCELERATOR)).isEqualTo(20);
    }
}
