package org.tamaracktrack.daemon.entry;

import static com.google.common.truth.Truth.assertThat;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
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

/** What a request is reported as, with a channel that does everything at once. */
class RequestRunnerTest {
    private static final TargetId TARGET = TargetId.of("engine-1");
    private static final byte[] PART = "data: 1\n\n".getBytes(StandardCharsets.UTF_8);

    private final Counters counters = Counters.empty();
    private final AtOnce channel = new AtOnce();
    private final Services services = new Services();

    private final class Services implements RequestServices {
        private final EntryMetrics metrics = EntryMetrics.of(new SimpleMeterRegistry(), counters);
        private final RetryPolicy rule = RetryPolicy.of(RetryBudget.of(0));
        private final Set<RequestRunner> running = ConcurrentHashMap.newKeySet();
        private final TargetLink link =
                TargetLink.of(
                        TARGET, IncarnationId.of("t"), new Taking(), new ConcurrentHashMap<>());
        private RequestRunner runner;
        private AttemptId attempt;

        @Override
        public AttemptId newRequest() {
            return AttemptId.of(IncarnationId.of("entry-1"), 1, 0);
        }

        @Override
        public RetryPolicy retryRule() {
            return rule;
        }

        @Override
        public EntryMetrics metrics() {
            return metrics;
        }

        @Override
        public Set<RequestRunner> inProgress() {
            return running;
        }

        @Override
        public void route(
                RoutingQuery query, Set<TargetId> tried, AttemptId routed, RequestRunner routing) {
            if (routed.attempt() == 0) {
                runner = routing;
                attempt = routed;
                routing.chosen(routed, link);
            } else {
                routing.noTarget(routed, ErrorCode.NO_TARGET, 10);
            }
        }

        @Override
        public void ended(TargetId target) {}

        @Override
        public void served(TargetId target, long runMillis) {}

        @Override
        public void claim(CallerRequest request, RequestRunner claiming) {}

        @Override
        public void settle(long claim, Ran ran) {}
    }

    private static final class Taking implements Connection {
        @Override
        public boolean send(Message message) {
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

    /** Writes at once unless held back; tasks run at once. */
    private static final class AtOnce implements CallerChannel {
        private final Deque<Integer> held = new ArrayDeque<>();
        private Listener listener;
        private boolean holding;

        @Override
        public void execute(Runnable task) {
            task.run();
        }

        @Override
        public void after(long delayMillis, Runnable task) {
            if (delayMillis < 1_000) {
                task.run();
            }
        }

        @Override
        public void listen(Listener newListener) {
            listener = newListener;
        }

        @Override
        public void whole(int status, Map<String, String> headers, byte[] body) {
            part(body);
            end();
        }

        @Override
        public void head(int status, Map<String, String> headers) {}

        @Override
        public void part(byte[] bytes) {
            if (holding) {
                held.add(bytes.length);
            } else {
                listener.onWritten(bytes.length);
            }
        }

        @Override
        public void end() {
            if (!holding) {
                listener.onDone();
            }
        }

        @Override
        public void error(CallerError error) {
            listener.onDone();
        }

        @Override
        public void cut() {
            gone();
        }

        private void gone() {
            listener.onGone();
            listener.onDone();
        }
    }

    private void start(boolean stream) {
        Configuration configuration = EntryFixture.configuration(5_000);
        Configuration.ClientAccount account =
                configuration.accounts().values().stream()
                        .filter(each -> each.models().contains(EntryFixture.MODEL))
                        .findFirst()
                        .orElseThrow();
        String body = "{\"model\":\"approval\",\"prompt\":\"x\",\"stream\":" + stream + "}";
        CallerHttp http =
                new CallerHttp(
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

    // The last part was written before the target's last word came, so the channel ends at once,
    // before the other actions of that word are carried out. The caller has its whole answer, and
    // the report must say so.
    @Test
    void shouldReportServedWhenTheChannelEndsAtOnce() {
        start(true);
        finish(1);

        assertThat(outcomes()).containsExactly("in_class");
        assertThat(services.running).isEmpty();
    }

    // The caller read the last event, knows that it is the last, and closes before the target's
    // last word comes. It was served.
    @Test
    void shouldReportServedWhenTheCallerClosesAfterItHasEverything() {
        start(true);
        channel.gone();
        finish(1);

        assertThat(outcomes()).containsExactly("in_class");
    }

    @Test
    void shouldReportServedWhenTheCallerClosesAfterTheWholeAnswerWasWritten() {
        start(false);
        finish(1);
        channel.listener.onGone();

        assertThat(outcomes()).containsExactly("in_class");
    }

    @Test
    void shouldReportCancelledWhenTheCallerClosesBeforeItHasEverything() {
        start(true);
        channel.gone();
        services.runner.received(new Message.Chunk(services.attempt, 1, PART));
        finish(2);

        assertThat(outcomes()).containsExactly("cancelled");
    }

    @Test
    void shouldReportCancelledWhenPartsWereNotWritten() {
        channel.holding = true;
        start(true);
        channel.gone();
        finish(1);

        assertThat(outcomes()).containsExactly("cancelled");
    }

    @Test
    void shouldReportUnknownWhenTheConnectionIsLost() {
        start(false);
        services.runner.connectionLost(services.attempt);

        assertThat(outcomes()).containsExactly("unknown");
    }
}
