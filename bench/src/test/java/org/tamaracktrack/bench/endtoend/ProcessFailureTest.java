package org.tamaracktrack.bench.endtoend;

import static com.google.common.truth.Truth.assertThat;
import static org.tamaracktrack.bench.endtoend.ExchangeAssertions.assertGuaranteesHold;
import static org.tamaracktrack.bench.endtoend.ExchangeAssertions.notWhole;

import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.extension.ExtendWith;
import org.tamaracktrack.bench.caller.ModelRequest;
import org.tamaracktrack.bench.caller.Outcome;
import org.tamaracktrack.bench.caller.SteadyLoad;
import org.tamaracktrack.bench.caller.SteadyLoad.Exchange;
import org.tamaracktrack.bench.stack.DaemonProcess;
import org.tamaracktrack.bench.stack.LocalStack;
import org.tamaracktrack.bench.stack.SampleAccounts;

@Timeout(90)
@ExtendWith(SharedStackExtension.class)
class ProcessFailureTest {
    private static final int CALLERS_PER_ENTRY = 6;

    private static ModelRequest request(int number) {
        List<ModelRequest> models =
                SampleAccounts.requestsToEveryModel(SharedStackExtension.newPrompt());
        ModelRequest request = models.get(number % models.size());
        return number % 2 == 0 ? request : request.nonIdempotent(Optional.empty());
    }

    private static SteadyLoad startLoad(LocalStack stack) {
        List<String> addresses = stack.entries().stream().map(DaemonProcess::httpAddress).toList();
        return SteadyLoad.start(addresses, CALLERS_PER_ENTRY, ProcessFailureTest::request);
    }

    private static Predicate<Exchange> isWhole() {
        return exchange -> exchange.observation().outcome() == Outcome.WHOLE;
    }

    private static Predicate<Exchange> isWholeThrough(String address) {
        return isWhole().and(exchange -> exchange.address().equals(address));
    }

    @Nested
    class TargetDaemons {
        @Test
        void shouldKeepRunGuaranteesWhenOneIsKilled(LocalStack stack) {
            // Guards against wrong answers, repeated runs of non-idempotent requests and false
            // reports that a request did not run. The daemon is killed by SIGKILL with requests in
            // its queue and at its engine; a new one takes over the target with a higher fencing
            // number while the engine may still run requests of the old one. Callers get an answer
            // from another replica, or an error that states whether the request ran.
            SteadyLoad load = startLoad(stack);
            load.await(50, isWhole());
            stack.target("engine-1").program().kill();
            load.await(30, isWhole());
            stack.restartTarget("engine-1");
            stack.awaitReady();
            load.await(50, isWhole());
            assertGuaranteesHold(stack, load.stop());
        }

        @Test
        void shouldKeepRunGuaranteesWhenOneIsPaused(LocalStack stack) {
            // Guards against wrong answers, repeated runs and false reports when a daemon hangs. It
            // is suspended by SIGSTOP with its connections open, so the entry daemons can detect it
            // only by missing messages; when it resumes, it answers requests that they have
            // abandoned. Callers wait, or get an error that states whether the request ran.
            SteadyLoad load = startLoad(stack);
            load.await(50, isWhole());
            stack.target("engine-2").program().pause();
            load.await(20, isWhole());
            stack.target("engine-2").program().resume();
            load.await(50, isWhole());
            assertGuaranteesHold(stack, load.stop());
        }
    }

    @Nested
    class EntryDaemons {
        @Test
        void shouldNotAffectCallersOfTheOtherWhenOneIsKilled(LocalStack stack) {
            // Guards against the effects of a killed entry daemon on callers of another one. Only
            // connections to the killed daemon break. The targets detect the closed connection and
            // cancel or finish the requests that they received through it.
            String other = stack.entry(1).httpAddress();
            SteadyLoad load = startLoad(stack);
            load.await(50, isWhole());
            stack.entry(0).program().kill();
            load.await(100, isWholeThrough(other));
            List<Exchange> exchanges = load.stop();
            assertGuaranteesHold(stack, exchanges);
            assertThat(
                            notWhole(exchanges).stream()
                                    .filter(exchange -> exchange.address().equals(other))
                                    .toList())
                    .isEmpty();
        }
    }
}
