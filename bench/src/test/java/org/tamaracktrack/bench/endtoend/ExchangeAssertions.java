package org.tamaracktrack.bench.endtoend;

import static com.google.common.truth.Truth.assertWithMessage;

import java.util.List;
import org.tamaracktrack.bench.caller.Outcome;
import org.tamaracktrack.bench.caller.SteadyLoad;
import org.tamaracktrack.bench.stack.LocalStack;
import org.tamaracktrack.bench.stack.RunCounts;

/** What must hold of every exchange, whatever failed meanwhile. */
final class ExchangeAssertions {
    private ExchangeAssertions() {}

    static void assertGuaranteesHold(LocalStack stack, List<SteadyLoad.Exchange> exchanges) {
        RunCounts runs = RunCounts.of(stack);
        exchanges.forEach(exchange -> assertGuaranteesHold(runs, exchange));
        assertNoOvercommit(stack);
    }

    private static void assertGuaranteesHold(RunCounts runs, SteadyLoad.Exchange exchange) {
        int ran = runs.runsOf(exchange.request().promptHash());
        assertWithMessage("%s", exchange)
                .that(exchange.observation().outcome())
                .isNotEqualTo(Outcome.WRONG);
        if (exchange.observation().outcome() == Outcome.NOT_RUN) {
            assertWithMessage("runs of a request said not to have run: %s", exchange)
                    .that(ran)
                    .isEqualTo(0);
        }
        if (!exchange.request().idempotent()) {
            assertWithMessage("runs of a non-idempotent request: %s", exchange)
                    .that(ran)
                    .isAtMost(1);
        }
    }

    static void assertNoOvercommit(LocalStack stack) {
        stack.engines()
                .forEach(
                        (name, engine) ->
                                assertWithMessage("overcommits of %s", name)
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
