package org.tamaracktrack.daemon.target;

import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Timer;
import java.time.Duration;
import java.util.Objects;
import java.util.function.Supplier;
import org.tamaracktrack.core.error.ErrorCode;
import org.tamaracktrack.core.id.RequestClassId;

/** The metrics of the target role. */
final class TargetMeters {
    private final MeterRegistry registry;

    private TargetMeters(MeterRegistry registry) {
        this.registry = registry;
    }

    static TargetMeters of(MeterRegistry registry) {
        Objects.requireNonNull(registry, "registry is null");
        return new TargetMeters(registry);
    }

    void gauge(String name, Supplier<Number> value) {
        Gauge.builder("tamaracktrack.target." + name, value).register(registry);
    }

    void queued(RequestClassId requestClass, long millis) {
        histogram("queued", requestClass).record(Duration.ofMillis(millis));
    }

    void firstBytes(RequestClassId requestClass, long millis) {
        histogram("first.bytes", requestClass).record(Duration.ofMillis(millis));
    }

    void completed(RequestClassId requestClass, long millis) {
        histogram("whole", requestClass).record(Duration.ofMillis(millis));
    }

    private Timer histogram(String name, RequestClassId requestClass) {
        return Timer.builder("tamaracktrack.target." + name)
                .tag("class", requestClass.value())
                .publishPercentileHistogram()
                .register(registry);
    }

    void refused(ErrorCode code) {
        registry.counter("tamaracktrack.target.refused", "code", code.name()).increment();
    }

    void failed(ErrorCode code) {
        registry.counter("tamaracktrack.target.failed", "code", code.name()).increment();
    }

    void event(String name) {
        registry.counter("tamaracktrack.target." + name).increment();
    }
}
