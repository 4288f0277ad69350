package org.tamaracktrack.core.target;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

class OrderControllerScheduleTest {

    // A process is killed or paused between intent, order and answer, its successor orders loads
    // while orders of the predecessor are still pending, and then the predecessor resumes. If
    // memory were overcommitted, the engine would fail minutes later without an earlier sign to
    // callers. This engine ignores fencing numbers, so only the intents in the log and the
    // lifetimes of orders prevent it.
    @Property(seed = "-5077205342", tries = 1_000)
    void shouldNeverOvercommitWhenTheEngineIgnoresFencing(@ForAll long schedule) {
        assertWithMessage("schedule %s", schedule)
                .that(OrderSimulation.of(schedule, false).overcommitsUnderFaults())
                .isFalse();
    }

    // The same faults with an engine that rejects outdated fencing numbers. The successor sends no
    // loads until the engine has reported its number; after that no older order can take effect.
    @Property(seed = "8815432077", tries = 1_000)
    void shouldNeverOvercommitWhenTheEngineChecksFencing(@ForAll long schedule) {
        assertWithMessage("schedule %s", schedule)
                .that(OrderSimulation.of(schedule, true).overcommitsUnderFaults())
                .isFalse();
    }

    // A ledger that never released memory would pass the tests above. After the faults, the orders
    // of a new process must take effect.
    @Property(seed = "31337", tries = 200)
    void shouldSendOrdersAgainWhenTheFaultsAreOver(
            @ForAll long schedule, @ForAll boolean checksFencing) {
        OrderSimulation simulation = OrderSimulation.of(schedule, checksFencing);
        simulation.overcommitsUnderFaults();

        assertThat(simulation.ordersAgainAfterFaults()).isTrue();
    }
}
