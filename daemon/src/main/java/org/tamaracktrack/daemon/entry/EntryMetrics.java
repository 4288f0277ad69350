package org.tamaracktrack.daemon.entry;

import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Timer;
import java.time.Duration;
import java.util.Arrays;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.tamaracktrack.core.error.ErrorCode;
import org.tamaracktrack.core.report.CounterName;
import org.tamaracktrack.core.report.RequestOutcome;
import org.tamaracktrack.daemon.counters.Counters;

/**
 * The meters and counters of requests. Label values are names from the configuration and error
 * codes only, so that callers cannot create new time series.
 */
final class EntryMetrics {
    private static final Duration[] BUCKETS =
            Arrays.stream(
                            new long[] {
                                1, 2, 5, 10, 20, 50, 100, 200, 500, 1_000, 2_000, 5_000, 10_000,
                                30_000, 60_000
                            })
                    .mapToObj(Duration::ofMillis)
                    .toArray(Duration[]::new);

    private final MeterRegistry registry;
    private final Counters counters;
    private final Map<String, Timer> timers = new ConcurrentHashMap<>();

    private EntryMetrics(MeterRegistry registry, Counters counters) {
        this.registry = registry;
        this.counters = counters;
    }

    static EntryMetrics of(MeterRegistry registry, Counters counters) {
        return new EntryMetrics(registry, counters);
    }

    /** The measured durations. */
    enum Span {
        WAIT("tamaracktrack.request.wait"),
        FIRST_TOKEN("tamaracktrack.request.first.token"),
        BETWEEN_TOKENS("tamaracktrack.request.between.tokens"),
        TOTAL("tamaracktrack.request.total");

        private final String meterName;

        Span(String meterName) {
            this.meterName = meterName;
        }
    }

    void recordDuration(Span span, CallerRequest request, double millis) {
        String account = request.account().id().value();
        String requestClass = request.requestClass().id().value();
        timers.computeIfAbsent(
                        span + "|" + account + "|" + requestClass,
                        key -> timer(span, account, requestClass))
                .record((long) (millis * TimeUnit.MILLISECONDS.toNanos(1)), TimeUnit.NANOSECONDS);
    }

    private Timer timer(Span span, String account, String requestClass) {
        return Timer.builder(span.meterName)
                .tag("account", account)
                .tag("class", requestClass)
                .serviceLevelObjectives(BUCKETS)
                .register(registry);
    }

    void count(CallerRequest request, RequestOutcome outcome) {
        counters.add(
                new CounterName.Requests(
                        request.account().id(),
                        request.destination(),
                        request.requestClass().id(),
                        outcome),
                1);
    }

    void countTokens(CallerRequest request, int promptTokens, int answerTokens) {
        request.routingQuery()
                .model()
                .ifPresent(
                        model -> {
                            count(request, CounterName.TokenKind.PROMPT, promptTokens);
                            count(request, CounterName.TokenKind.ANSWER, answerTokens);
                        });
    }

    private void count(CallerRequest request, CounterName.TokenKind kind, int tokens) {
        counters.add(
                new CounterName.Tokens(
                        request.account().id(),
                        request.routingQuery().model().orElseThrow(),
                        request.requestClass().id(),
                        kind),
                tokens);
    }

    void countError(ErrorCode code) {
        registry.counter("tamaracktrack.entry.errors", "code", code.name()).increment();
    }

    void countEvent(Event event) {
        registry.counter("tamaracktrack.entry.events", "event", event.label).increment();
    }

    /** The counted events other than errors. */
    enum Event {
        ATTEMPT("attempt"),
        RETRY("retry"),
        LATE_FRAME("late_frame"),
        ANSWER_FAULT("answer_fault"),
        INVARIANT_BREACH("invariant_breach"),
        CALLER_CUT("caller_cut"),
        CALLER_GONE("caller_gone");

        private final String label;

        Event(String label) {
            this.label = label;
        }
    }
}
