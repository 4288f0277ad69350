package org.tamaracktrack.daemon.gateway;

import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Tags;
import io.micrometer.core.instrument.Timer;
import java.time.Duration;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.tamaracktrack.core.dispatch.FailurePolicy;
import org.tamaracktrack.core.id.ServiceId;

/** Counters and histograms of passed-on requests, by route. Owned by the traffic thread. */
final class GatewayMetrics {
    private static final Duration[] BUCKETS =
            Arrays.stream(new long[] {5, 20, 50, 100, 200, 400, 800, 1_600, 3_200, 10_000, 30_000})
                    .mapToObj(Duration::ofMillis)
                    .toArray(Duration[]::new);

    private final MeterRegistry registry;
    private final Map<String, Timer> timers = new HashMap<>();
    private final Map<ServiceId, AtomicInteger> repeatsLeft = new HashMap<>();

    private GatewayMetrics(MeterRegistry registry) {
        this.registry = registry;
    }

    static GatewayMetrics of(MeterRegistry registry) {
        return new GatewayMetrics(registry);
    }

    /** Counts an outcome, and the time to the first piece of the answer. */
    void ended(String route, String outcome, long firstMillis) {
        timers.computeIfAbsent(route + '|' + outcome, key -> timer(route, outcome))
                .record(Math.max(0, firstMillis), TimeUnit.MILLISECONDS);
    }

    private Timer timer(String route, String outcome) {
        return Timer.builder("tamaracktrack.gateway.first.piece")
                .tag("route", route)
                .tag("outcome", outcome)
                .serviceLevelObjectives(BUCKETS)
                .register(registry);
    }

    void attemptEnded(String end) {
        registry.counter("tamaracktrack.gateway.attempts", "end", end).increment();
    }

    /**
     * Counts how a possible repeat was decided, and shows how many more this daemon could send to
     * the service then.
     */
    void repeat(ServiceId service, FailurePolicy.Payment payment, double left) {
        registry.counter(
                        "tamaracktrack.gateway.repeats",
                        "service",
                        service.value(),
                        "payment",
                        payment.name())
                .increment();
        repeatsLeft.computeIfAbsent(service, this::repeatsLeft).set((int) left);
    }

    private AtomicInteger repeatsLeft(ServiceId service) {
        return registry.gauge(
                "tamaracktrack.gateway.repeats.left",
                Tags.of("service", service.value()),
                new AtomicInteger());
    }
}
