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
        // Callers see nothing of an outage of the log. During it an entry daemon is killed and
        // replaced; the new one can read neither configuration nor targets from the log, and
        // has them from its peer.
        stack.log().putControl("/control/outage", "{\"on\":true}");
        assertEveryModelAnswers(stack.entry(0).httpAddress());
        stack.entry(0).program().kill();
        DaemonProcess newcomer = stack.restartEntry(0);
        Waiting.until("the newcomer is ready", TIMEOUT, newcomer::ready);
        ModelRequest first =
                SampleAccounts.requestsToEveryModel(SharedStackExtension.newPrompt()).get(0);
        Waiting.until(
                "the newcomer serves",
                TIMEOUT,
                () -> caller.send(newcomer.httpAddress(), first).join().outcome() == Outcome.WHOLE);
        assertEveryModelAnswers(newcomer.httpAddress());
    }

    @Test
    void shouldRefuseRequestsWithIdempotencyKeysWhenTheLogIsUnavailable(LocalStack stack) {
        // A call that may not be repeated needs its key claimed in the log. While the log is out
        // nobody can know whether the key was used elsewhere, so the call is refused, not run,
        // and the same key may be tried again later.
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
                "the key is taken",
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
        // A target daemon is killed and replaced while the log is out, so the new one can't take
        // its target and must not act for it; its models are unreachable or served elsewhere.
        // When the log is back it takes the target and serves.
        stack.log().putControl("/control/outage", "{\"on\":true}");
        stack.target("engine-3").program().kill();
        stack.restartTarget("engine-3");
        stack.log().putControl("/control/outage", "{\"on\":false}");
        SharedStackExtension.awaitEveryModel(stack);
        ExchangeAssertions.assertNoOvercommit(stack);
    }
}
