package org.tamaracktrack.daemon.entry;

import static com.google.common.truth.Truth.assertThat;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.tamaracktrack.core.config.Configuration;
import org.tamaracktrack.core.error.ErrorCode;
import org.tamaracktrack.core.error.Ran;
import org.tamaracktrack.core.id.AttemptId;
import org.tamaracktrack.core.id.IncarnationId;
import org.tamaracktrack.core.id.TargetId;
import org.tamaracktrack.core.message.Message;
import org.tamaracktrack.core.retry.RetryBudget;
import org.tamaracktrack.core.retry.RetryPolicy;
import org.tamaracktrack.core.routing.RoutingQuery;
import org.tamaracktrack.daemon.counters.Counters;
import org.tamaracktrack.link.frame.Connection;

/** Tests the outcome counted for a request, with a channel that runs everything synchronously. */
class RequestRunnerTest {
    private static final TargetId TARGET = TargetId.of("engine-1");
    private static final byte[] PART = "data: 1\n\n".getBytes(StandardCharsets.UTF_8);

    private final Counters counters = Counters.empty();
    private final ImmediateChannel channel = new ImmediateChannel();
    private final FakeServices services = new FakeServices();

    private final class FakeServices implements RequestServices {
        private final EntryMetrics metrics = EntryMetrics.of(new SimpleMeterRegistry(), counters);
        private final RetryPolicy retryPolicy = RetryPolicy.of(RetryBudget.of(0));
        private final Set<RequestRunner> inProgress = ConcurrentHashMap.newKeySet();
        private final AcceptingConnection connection = new AcceptingConnection();
        private final TargetLink link =
                TargetLink.of(TARGET, IncarnationId.of("t"), connection, new ConcurrentHashMap<>());
        private RequestRunner runner;
        private AttemptId attempt;

        @Override
        public AttemptId newFirstAttempt() {
            return AttemptId.of(IncarnationId.of("entry-1"), 1, 0);
        }

        @Override
        public RetryPolicy retryPolicy() {
            return retryPolicy;
        }

        @Override
        public EntryMetrics metrics() {
            return metrics;
        }

        @Override
        public Set<RequestRunner> inProgress() {
            return inProgress;
        }

        @Override
        public void route(
                RoutingQuery query,
                Set<TargetId> tried,
                AttemptId routedAttempt,
                RequestRunner routedRunner) {
            if (routedAttempt.attempt() == 0) {
                runner = routedRunner;
                attempt = routedAttempt;
                routedRunner.targetChosen(routedAttempt, link);
            } else {
                routedRunner.noTarget(routedAttempt, ErrorCode.NO_TARGET, 10);
            }
        }

        @Override
        public void recordEnded(TargetId target) {}

        @Override
        public void recordServed(TargetId target, long runMillis) {}

        @Override
        public void claimKey(CallerRequest request, RequestRunner claimingRunner) {}

        @Override
        public void settleClaim(long claim, Ran ran) {}
    }

    private static final class AcceptingConnection implements Connection {
        private final List<Message> sent = new ArrayList<>();

        @Override
        public boolean send(Message message) {
            sent.add(message);
            return true;
        }

        @Override
        public long queuedBytes() {
            return 0;
        }

        @Override
        public void close() {}

        @Override
        public boolean isOpen() {
            return true;
        }

        @Override
        public String remote() {
            return "test";
        }
    }

    /** Runs tasks and reports parts as written synchronously, unless writes are held. */
    private static final class ImmediateChannel implements CallerChannel {
        private final Deque<Integer> heldPartSizes = new ArrayDeque<>();
        private Listener listener;
        private boolean holdingWrites;
        private boolean callerLeft;

        @Override
        public void detectDisconnect() {
            if (callerLeft) {
                disconnect();
            }
        }

        @Override
        public void execute(Runnable task) {
            task.run();
        }

        @Override
        public void executeAfter(long delayMillis, Runnable task) {
            if (delayMillis < 1_000) {
                task.run();
            }
        }

        @Override
        public void listen(Listener newListener) {
            listener = newListener;
        }

        @Override
        public void sendWhole(int status, Map<String, String> headers, byte[] body) {
            sendPart(body);
            sendEnd();
        }

        @Override
        public void sendHead(int status, Map<String, String> headers) {}

        @Override
        public void sendPart(byte[] bytes) {
            if (holdingWrites) {
                heldPartSizes.add(bytes.length);
            } else {
                listener.onWritten(bytes.length);
            }
        }

        @Override
        public void sendEnd() {
            if (!holdingWrites) {
                listener.onCompleted();
            }
        }

        @Override
        public void sendError(CallerError error) {
            listener.onCompleted();
        }

        @Override
        public void abort() {
            disconnect();
        }

        private void disconnect() {
            listener.onDisconnected();
            listener.onCompleted();
        }
    }

    private void start(boolean streaming) {
        Configuration configuration = EntryFixture.configuration(5_000);
        Configuration.ClientAccount account =
                configuration.accounts().values().stream()
                        .filter(candidate -> candidate.models().contains(EntryFixture.MODEL))
                        .findFirst()
                        .orElseThrow();
        String body = "{\"model\":\"approval\",\"prompt\":\"x\",\"stream\":" + streaming + "}";
        CallerHttpRequest http =
                new CallerHttpRequest(
                        "POST",
                        "/v1/completions",
                        "",
                        Map.of(),
                        body.getBytes(StandardCharsets.UTF_8));
        RequestRunner.start(services, RequestReader.read(configuration, account, http), channel);
        services.runner.received(new Message.Started(services.attempt, 200, Map.of()));
        services.runner.received(new Message.Chunk(services.attempt, 0, PART));
    }

    private void finish(int chunks) {
        Message.Load load =
                new Message.Load(TARGET, 0, false, 0, 0, Map.of(), List.of(), List.of(), List.of());
        services.runner.received(new Message.Finished(services.attempt, chunks, 1, 1, 0, load));
    }

    private List<String> outcomes() {
        return counters.snapshot().keySet().stream()
                .filter(name -> name.startsWith("requests|"))
                .map(name -> name.substring(name.lastIndexOf('|') + 1))
                .filter(outcome -> !outcome.equals("offered"))
                .collect(Collectors.toList());
    }

    // The last part was already written when the target's finished message arrives, so the channel
    // completes before the other actions for that message are carried out. The caller has the
    // complete answer, so the request must count as served.
    @Test
    void shouldReportServedWhenTheChannelCompletesImmediately() {
        start(true);
        finish(1);

        assertThat(outcomes()).containsExactly("in_class");
        assertThat(services.inProgress).isEmpty();
    }

    // A caller that has read the last event may close its connection before the target's finished
    // message arrives. It has the complete answer, so the request must count as served.
    @Test
    void shouldReportServedWhenTheCallerClosesAfterTheLastPart() {
        start(true);
        channel.disconnect();
        finish(1);

        assertThat(outcomes()).containsExactly("in_class");
    }

    @Test
    void shouldReportServedWhenTheCallerClosesAfterTheWholeAnswerWasWritten() {
        start(false);
        finish(1);
        channel.listener.onDisconnected();

        assertThat(outcomes()).containsExactly("in_class");
    }

    @Test
    void shouldReportCancelledWhenTheCallerClosesBeforeTheLastPart() {
        start(true);
        channel.disconnect();
        services.runner.received(new Message.Chunk(services.attempt, 1, PART));
        finish(2);

        assertThat(outcomes()).containsExactly("cancelled");
    }

    @Test
    void shouldReportCancelledWhenPartsWereNotWritten() {
        channel.holdingWrites = true;
        start(true);
        channel.disconnect();
        finish(1);

        assertThat(outcomes()).containsExactly("cancelled");
    }

    @Test
    void shouldReportUnknownWhenTheConnectionIsLost() {
        start(false);
        services.runner.connectionLost(services.attempt);

        assertThat(outcomes()).containsExactly("unknown");
    }

    // Guards against a request that is sent to a target though its caller has closed the connection
    // and this daemon has not read that yet.
    @Test
    void shouldSendNothingWhenCallerHasLeftBeforeTargetIsChosen() {
        channel.callerLeft = true;

        start(false);

        assertThat(services.connection.sent).isEmpty();
        assertThat(services.inProgress).isEmpty();
    }
}
