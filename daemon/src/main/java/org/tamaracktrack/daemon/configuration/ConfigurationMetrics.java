package org.tamaracktrack.daemon.configuration;

import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;
import java.util.Locale;
import java.util.Objects;
import org.tamaracktrack.core.config.ConfigurationEvent;

/** Registers the metrics of the configuration that a daemon follows. */
public final class ConfigurationMetrics {
    private static final String EVENTS = "tamaracktrack.configuration.events";
    private static final String BREACHES = "tamaracktrack.configuration.invariant.breaches";

    private ConfigurationMetrics() {}

    /**
     * Registers the meters: the version in force, whether it was read from the log, whether the log
     * is followed, and counters of events and breaches.
     *
     * @param configuration the configuration that the metrics describe
     * @param meters the registry
     */
    public static void register(FollowedConfiguration configuration, MeterRegistry meters) {
        Objects.requireNonNull(configuration, "configuration is null");
        Objects.requireNonNull(meters, "meters is null");
        Gauge.builder(
                        "tamaracktrack.configuration.version",
                        configuration,
                        followed -> followed.status().version())
                .description("version in force, -1 for none")
                .register(meters);
        Gauge.builder(
                        "tamaracktrack.configuration.confirmed",
                        configuration,
                        followed -> followed.status().confirmed() ? 1 : 0)
                .description("1 when the version in force was read from the log")
                .register(meters);
        Gauge.builder(
                        "tamaracktrack.configuration.following",
                        configuration,
                        followed -> followed.status().following() ? 1 : 0)
                .description("1 when every record of the stream has been read")
                .register(meters);
        configuration.addEventListener(event -> count(meters, event));
    }

    private static void count(MeterRegistry meters, ConfigurationEvent event) {
        if (event instanceof ConfigurationEvent.InvariantBroken broken) {
            meters.counter(BREACHES, "invariant", label(broken.breach().name())).increment();
        }
        meters.counter(EVENTS, "event", label(event.getClass().getSimpleName())).increment();
    }

    private static String label(String name) {
        return name.replaceAll("([a-z])([A-Z])", "$1_$2").toLowerCase(Locale.ROOT);
    }
}
