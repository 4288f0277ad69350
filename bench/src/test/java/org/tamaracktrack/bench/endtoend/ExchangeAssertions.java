package org.tamaracktrack.bench.endtoend;

import static com.google.common.truth.Truth.assertWithMessage;

import java.util.List;
import org.tamaracktrack.bench.caller.Outcome;
import org.tamaracktrack.bench.caller.SteadyLoad;
import org.tamaracktrack.bench.stack.LocalStack;
import org.tamaracktrack.bench.stack.RunCounts;

/** Assertions that must hold for every exchange, whichever component failed during it. */
final class ExchangeAssertions {
    private ExchangeAssertions() {}

    static void assertGuaranteesHold(LocalStack stack, List<SteadyLoad.Exchange> exchanges) {
        RunCounts runCounts = RunCounts.of(stack);
        exchanges.forEach(exchange -> assertGuaranteesHold(runCounts, exchange));
        assertNoOvercommit(stack);
    }

    private static void assertGuaranteesHold(RunCounts runCounts, SteadyLoad.Exchange exchange) {
        int runCount = runCounts.runsOf(exchange.request().promptHash());
        assertWithMessage("%s", exchange)
                .that(exchange.observation().outcome())
                .isNotEqualTo(Outcome.WRONG);
        if (exchange.observation().outcome() == Outcome.NOT_RUN) {
            assertWithMessage("runs of a request that was reported as not run: %s", exchange)
                    .that(runCount)
                    .isEqualTo(0);
        }
        if (!exchange.request().idempotent()) {
            assertWithMessage("runs of a non-idempotent request: %s", exchange)
                    .that(runCount)
                    .isAtMost(1);
        }
    }

    static void assertNoOvercommit(LocalStack stack) {
        stack.engines()
                .forEach(
                        (name, engine) ->
                                assertWithMessage("memory overcommits of %s", name)
                                        .that(
                                                engine.getControl("/control/state")
                                                        .get("overcommits")
                                                        .asInt())
                                        .isEqualTo(0));
    }

    static List<SteadyLoad.Exchange> whole(List<SteadyLoad.Exchange> exchanges) {
        return exchanges.stream()
                .filter(exchange -> exchange.observation().outcome() == Outcome.WHOLE)
                .toList();
    }

    static List<SteadyLoad.Exchange> notWhole(List<SteadyLoad.Exchange> exchanges) {
        return exchanges.stream()
                .filter(exchange -> exchange.observation().outcome() != Outcome.WHOLE)
                .toList();
    }
}
