package org.tamaracktrack.bench.endtoend;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.extension.ExtendWith;
import org.tamaracktrack.bench.caller.Caller;
import org.tamaracktrack.bench.caller.ModelRequest;
import org.tamaracktrack.bench.caller.Observation;
import org.tamaracktrack.bench.caller.Outcome;
import org.tamaracktrack.bench.stack.DaemonProcess;
import org.tamaracktrack.bench.stack.LocalStack;
import org.tamaracktrack.bench.stack.RunCounts;
import org.tamaracktrack.bench.stack.SampleAccounts;
import org.tamaracktrack.bench.stack.Waiting;

@Timeout(90)
@ExtendWith(SharedStackExtension.class)
class LogOutageTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(30);

    private final Caller caller = Caller.of();

    private void assertEveryModelAnswers(String address) {
        SampleAccounts.requestsToEveryModel(SharedStackExtension.newPrompt())
                .forEach(
                        request ->
                                assertWithMessage("%s", request)
                                        .that(caller.send(address, request).join().outcome())
                                        .isEqualTo(Outcome.WHOLE));
    }

    @Test
    void shouldKeepServingAndStartANewEntryDaemonWhenTheLogIsUnavailable(LocalStack stack) {
        // Guards against a log outage that affects callers. An entry daemon is killed and replaced
        // during the outage; the new one can't read configuration and targets from the log and gets
        // them from its peer.
        stack.log().putControl("/control/outage", "{\"on\":true}");
        assertEveryModelAnswers(stack.entry(0).httpAddress());
        stack.entry(0).program().kill();
        DaemonProcess newDaemon = stack.restartEntry(0);
        Waiting.until("the new entry daemon is ready", TIMEOUT, newDaemon::ready);
        ModelRequest firstRequest =
                SampleAccounts.requestsToEveryModel(SharedStackExtension.newPrompt()).get(0);
        Waiting.until(
                "the new entry daemon serves",
                TIMEOUT,
                () ->
                        caller.send(newDaemon.httpAddress(), firstRequest).join().outcome()
                                == Outcome.WHOLE);
        assertEveryModelAnswers(newDaemon.httpAddress());
    }

    @Test
    void shouldRefuseRequestsWithIdempotencyKeysWhenTheLogIsUnavailable(LocalStack stack) {
        // Guards against a repeated run of a request with an idempotency key. Its key must be
        // claimed
        // in the log; while the log is unavailable, no daemon can determine whether the key is in
        // use elsewhere, so the request is refused without a run. The key can be used later.
        stack.log().putControl("/control/outage", "{\"on\":true}");
        ModelRequest request =
                SampleAccounts.requestsToEveryModel(SharedStackExtension.newPrompt())
                        .get(0)
                        .nonIdempotent(Optional.of("key in an outage"));
        Observation refused = caller.send(stack.entry(0).httpAddress(), request).join();
        assertThat(refused.outcome()).isEqualTo(Outcome.NOT_RUN);
        assertThat(RunCounts.of(stack).runsOf(request.promptHash())).isEqualTo(0);
        stack.log().putControl("/control/outage", "{\"on\":false}");
        Waiting.until(
                "the request with the key is answered",
                TIMEOUT,
                () ->
                        List.of(Outcome.WHOLE)
                                .contains(
                                        caller.send(stack.entry(0).httpAddress(), request)
                                                .join()
                                                .outcome()));
        assertThat(RunCounts.of(stack).runsOf(request.promptHash())).isEqualTo(1);
    }

    @Test
    void shouldServeAgainWhenTheLogIsAvailableAfterATargetDaemonRestart(LocalStack stack) {
        // Guards against a target daemon that acts without ownership of its target. It is killed
        // and
        // replaced while the log is unavailable, so the new one can't take ownership; its models
        // are
        // unavailable or served by other targets. Once the log is available again, it takes
        // ownership and serves.
        stack.log().putControl("/control/outage", "{\"on\":true}");
        stack.target("engine-3").program().kill();
        stack.restartTarget("engine-3");
        stack.log().putControl("/control/outage", "{\"on\":false}");
        SharedStackExtension.awaitEveryModel(stack);
        ExchangeAssertions.assertNoOvercommit(stack);
    }
}
