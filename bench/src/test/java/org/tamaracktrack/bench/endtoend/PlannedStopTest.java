package org.tamaracktrack.bench.endtoend;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.extension.ExtendWith;
import org.tamaracktrack.bench.caller.Caller;
import org.tamaracktrack.bench.caller.ModelRequest;
import org.tamaracktrack.bench.caller.Observation;
import org.tamaracktrack.bench.caller.Outcome;
import org.tamaracktrack.bench.stack.LocalStack;
import org.tamaracktrack.bench.stack.RunningProgram;
import org.tamaracktrack.bench.stack.SampleAccounts;

@Timeout(90)
@ExtendWith(SharedStackExtension.class)
class PlannedStopTest {
    private static final int LONG_STREAM_TOKENS = 600;
    private static final Duration STOP_TIMEOUT = Duration.ofSeconds(40);

    private final Caller caller = Caller.of();

    /**
     * Starts a long stream from every model through every entry daemon, and waits until each stream
     * has returned its first byte.
     */
    private List<CompletableFuture<Observation>> startLongStreams(LocalStack stack)
            throws Exception {
        List<ModelRequest> requests =
                SampleAccounts.requestsToEveryModel(SharedStackExtension.newPrompt()).stream()
                        .map(
                                request ->
                                        request.streamed(LONG_STREAM_TOKENS)
                                                .withRequestClass("batch"))
                        .toList();
        CountDownLatch startedStreams =
                new CountDownLatch(requests.size() * stack.entries().size());
        List<CompletableFuture<Observation>> streams = new ArrayList<>();
        stack.entries()
                .forEach(
                        entry ->
                                requests.forEach(
                                        request ->
                                                streams.add(
                                                        caller.send(
                                                                entry.httpAddress(),
                                                                request,
                                                                startedStreams::countDown))));
        assertThat(startedStreams.await(30, TimeUnit.SECONDS)).isTrue();
        return streams;
    }

    private void assertNoStreamCut(LocalStack stack, RunningProgram... programs) throws Exception {
        List<CompletableFuture<Observation>> streams = startLongStreams(stack);
        List.of(programs).forEach(RunningProgram::terminate);
        streams.forEach(
                stream ->
                        assertWithMessage("%s", stream.join())
                                .that(stream.join().outcome())
                                .isEqualTo(Outcome.WHOLE));
        List.of(programs)
                .forEach(program -> assertThat(program.awaitExit(STOP_TIMEOUT)).isEqualTo(0));
    }

    @Test
    void shouldCutNoStreamWhenATargetDaemonStops(LocalStack stack) throws Exception {
        // Guards against streams that are cut by a planned stop. Every engine serves long streams
        // when one target daemon receives SIGTERM. It must announce that it is leaving, accept no
        // new requests and exit only after its last stream has ended.
        assertNoStreamCut(stack, stack.target("engine-1").program());
    }

    @Test
    void shouldCutNoStreamWhenAnEntryDaemonStops(LocalStack stack) throws Exception {
        // Guards against streams that are cut by a planned stop. Both entry daemons forward long
        // streams when one receives SIGTERM. It must fail its readiness check, keep serving for the
        // configured balancer lag and exit only after its last stream has ended.
        assertNoStreamCut(stack, stack.entry(0).program());
    }

    @Test
    void shouldCutNoStreamWhenAnEntryAndATargetDaemonStopTogether(LocalStack stack)
            throws Exception {
        // An entry daemon and a target daemon receive SIGTERM together while streams run between
        // them; neither may exit early because the other is leaving.
        assertNoStreamCut(stack, stack.entry(1).program(), stack.target("engine-2").program());
    }
}
