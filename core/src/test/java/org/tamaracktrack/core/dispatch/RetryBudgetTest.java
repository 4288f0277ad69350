package org.tamaracktrack.core.dispatch;

import static com.google.common.truth.Truth.assertWithMessage;

import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.constraints.LongRange;

class RetryBudgetTest {

    // Guards against a limit for all daemons together that holds only up to some number of them.
    @Property(seed = "101", tries = 60)
    void shouldKeepTheSumWithinTheBudgetAtAnyNumberOfDaemons(
            @ForAll("daemons") int daemons, @ForAll @LongRange(max = 1_000_000) long seed) {
        assertWithinBudget(RetryScenario.play(seed, daemons, false));
    }

    // Guards against processes that start with a share of their own while their predecessors'
    // repeats still count, and against a clock that stood still.
    @Property(seed = "102", tries = 90)
    void shouldKeepTheSumWithinTheBudgetWhileDaemonsComeAndGo(
            @ForAll("daemons") int daemons, @ForAll @LongRange(max = 1_000_000) long seed) {
        assertWithinBudget(RetryScenario.play(seed, daemons, true));
    }

    @Provide
    Arbitrary<Integer> daemons() {
        return Arbitraries.oneOf(
                Arbitraries.of(22, 33, 320), Arbitraries.integers().between(1, 60));
    }

    private static void assertWithinBudget(RetryScenario played) {
        assertWithMessage("repeats beyond the budget in the worst window")
                .that(played.worstExcess())
                .isAtMost(0.0);
    }
}
