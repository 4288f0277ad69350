package org.tamaracktrack.bench.endtoend;

import static com.google.common.truth.Truth.assertThat;

import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.tamaracktrack.bench.caller.ModelRequest;
import org.tamaracktrack.bench.caller.Outcome;
import org.tamaracktrack.bench.caller.SteadyLoad;
import org.tamaracktrack.bench.report.ObservedRequest;
import org.tamaracktrack.bench.report.ReportCheck;
import org.tamaracktrack.bench.stack.DaemonProcess;
import org.tamaracktrack.bench.stack.LocalStack;
import org.tamaracktrack.bench.stack.SampleAccounts;
import org.tamaracktrack.bench.stack.StackPlan;

@Timeout(120)
class ReportAccuracyTest {
    private static final int CALLERS_PER_ENTRY = 4;

    private static ModelRequest request(int number) {
        List<ModelRequest> models =
                SampleAccounts.requestsToEveryModel(SharedStackExtension.newPrompt());
        ModelRequest request = models.get(number % models.size());
        return number % 2 == 0 ? request.streamed(12) : request.nonIdempotent(Optional.empty());
    }

    private static void awaitWholeAnswers(SteadyLoad load, int count) {
        load.await(count, exchange -> exchange.observation().outcome() == Outcome.WHOLE);
    }

    @Test
    void shouldReportWhatCallersObservedWhenATargetDaemonIsKilledAndTheLogIsUnavailable() {
        // Guards against lost or doubled counts in the report. Callers get complete answers,
        // refusals and errors while the log has an outage and a target daemon is killed and
        // replaced. Counters can't be written during the outage and some appends are repeated after
        // it; the final report must agree with the callers' results in every row.
        StackPlan plan = StackPlan.sample(Path.of(".."), Path.of("target", "stack-report"));
        try (LocalStack stack = LocalStack.start(plan)) {
            List<String> addresses =
                    stack.entries().stream().map(DaemonProcess::httpAddress).toList();
            SteadyLoad load =
                    SteadyLoad.start(addresses, CALLERS_PER_ENTRY, ReportAccuracyTest::request);
            awaitWholeAnswers(load, 50);
            stack.log().putControl("/control/outage", "{\"on\":true}");
            awaitWholeAnswers(load, 50);
            stack.log().putControl("/control/outage", "{\"on\":false}");
            stack.log().putControl("/control/lose-answers", "{\"count\":5}");
            stack.target("engine-1").program().kill();
            awaitWholeAnswers(load, 30);
            stack.restartTarget("engine-1");
            stack.awaitReady();
            awaitWholeAnswers(load, 50);
            List<ObservedRequest> observedRequests =
                    load.stop().stream()
                            .map(
                                    exchange ->
                                            ObservedRequest.of(
                                                    exchange.request(), exchange.observation()))
                            .toList();
            Map<String, Integer> statuses = stack.stopDaemons();
            assertThat(statuses.values()).containsNoneIn(List.of(1, 2, 3, 137, 143));
            assertThat(ReportCheck.differences(stack, observedRequests)).isEmpty();
        }
    }
}
