package org.tamaracktrack.core.target;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

class OrderControlScheduleTest {

    // A caller sees nothing at first; the engine dies of lack of memory minutes later. A process is
    // killed or paused between intent, order and answer, its successor orders loads while orders of
    // the predecessor are still under way, and the predecessor wakes up. This engine ignores
    // fencing
    // numbers, so only the intents in the log and the lifetimes of orders stand in the way.
    @Property(seed = "-5077205342", tries = 1_000)
    void shouldNeverOvercommitWhenTheEngineIgnoresFencing(@ForAll long schedule) {
        assertWithMessage("schedule %s", schedule)
                .that(OrderWorld.of(schedule, false).everOvercommitted())
                .isFalse();
    }

    // The same failures against an engine that refuses old fencing numbers. The successor orders
    // nothing until the engine has shown its number, after which no older order can take effect.
    @Property(seed = "8815432077", tries = 1_000)
    void shouldNeverOvercommitWhenTheEngineChecksFencing(@ForAll long schedule) {
        assertWithMessage("schedule %s", schedule)
                .that(OrderWorld.of(schedule, true).everOvercommitted())
                .isFalse();
    }

    // A ledger that never gives memory back would be safe and useless: after the faults a fresh
    // process must get its orders through.
    @Property(seed = "31337", tries = 200)
    void shouldOrderAgainWhenTheFaultsAreOver(
            @ForAll long schedule, @ForAll boolean checksFencing) {
        OrderWorld world = OrderWorld.of(schedule, checksFencing);
        world.everOvercommitted();

        assertThat(world.recovers()).isTrue();
    }
}
