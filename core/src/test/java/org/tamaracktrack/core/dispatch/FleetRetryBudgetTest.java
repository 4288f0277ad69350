package org.tamaracktrack.core.dispatch;

import static com.google.common.truth.Truth.assertWithMessage;

import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.constraints.LongRange;

class FleetRetryBudgetTest {

    // Guards against a limit for all daemons together that is exceeded when there are many of them.
    @Property(seed = "101", tries = 60)
    void shouldKeepTotalRetriesWithinBudgetAtAnyNumberOfDaemons(
            @ForAll("daemons") int daemons, @ForAll @LongRange(max = 1_000_000) long seed) {
        assertWithinBudget(RetrySimulation.run(seed, daemons, false));
    }

    // Guards against processes that start with a share while the retries of their predecessors
    // still count, and against a clock that stood still during a freeze.
    @Property(seed = "102", tries = 90)
    void shouldKeepTotalRetriesWithinBudgetWhileDaemonsComeAndGo(
            @ForAll("daemons") int daemons, @ForAll @LongRange(max = 1_000_000) long seed) {
        assertWithinBudget(RetrySimulation.run(seed, daemons, true));
    }

    @Provide
    Arbitrary<Integer> daemons() {
        return Arbitraries.oneOf(
                Arbitraries.of(22, 33, 320), Arbitraries.integers().between(1, 60));
    }

    private static void assertWithinBudget(RetrySimulation scenario) {
        assertWithMessage("retries beyond the budget in the worst window")
                .that(scenario.worstExcess())
                .isAtMost(0.0);
    }
}
