package org.tamaracktrack.bench.endtoend;

import static com.google.common.truth.Truth.assertWithMessage;

import java.util.List;
import org.tamaracktrack.bench.caller.Outcome;
import org.tamaracktrack.bench.caller.SteadyLoad;
import org.tamaracktrack.bench.stack.LocalStack;
import org.tamaracktrack.bench.stack.RunBook;

/** What must hold of every exchange, whatever failed meanwhile. */
final class Verdicts {
    private Verdicts() {}

    static void assertPromisesKept(LocalStack stack, List<SteadyLoad.Exchange> exchanges) {
        RunBook runs = RunBook.of(stack);
        exchanges.forEach(exchange -> assertPromisesKept(runs, exchange));
        assertNoOvercommit(stack);
    }

    private static void assertPromisesKept(RunBook runs, SteadyLoad.Exchange exchange) {
        int ran = runs.runsOf(exchange.request().promptHash());
        assertWithMessage("%s", exchange)
                .that(exchange.seen().outcome())
                .isNotEqualTo(Outcome.WRONG);
        if (exchange.seen().outcome() == Outcome.NOT_RUN) {
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
                                                engine.ask("/control/state")
                                                        .get("overcommits")
                                                        .asInt())
                                        .isEqualTo(0));
    }

    static List<SteadyLoad.Exchange> whole(List<SteadyLoad.Exchange> exchanges) {
        return exchanges.stream()
                .filter(exchange -> exchange.seen().outcome() == Outcome.WHOLE)
                .toList();
    }

    static List<SteadyLoad.Exchange> notWhole(List<SteadyLoad.Exchange> exchanges) {
        return exchanges.stream()
                .filter(exchange -> exchange.seen().outcome() != Outcome.WHOLE)
                .toList();
    }
}
