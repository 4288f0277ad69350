package org.tamaracktrack.daemon.runtime;

import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.util.Objects;
import java.util.Optional;
import org.tamaracktrack.core.id.IncarnationId;
import org.tamaracktrack.daemon.configuration.ConfigurationSource;
import org.tamaracktrack.daemon.settings.Settings;
import org.tamaracktrack.link.frame.FrameTransport;
import org.tamaracktrack.link.hosts.HostListClient;
import org.tamaracktrack.link.http.HttpCaller;
import org.tamaracktrack.link.log.LogClient;

/**
 * The components that a role is built from.
 *
 * @param settings the settings
 * @param incarnation this run of the process
 * @param control the thread that owns the control state
 * @param log the client of the platform's log
 * @param hosts the client of the platform's host list, if there is one
 * @param transport opens and accepts connections between daemons
 * @param http makes HTTP calls to engines and platform services
 * @param metrics the metrics registry
 * @param configuration the configuration in force
 */
public record DaemonRuntime(
        Settings settings,
        IncarnationId incarnation,
        ControlThread control,
        LogClient log,
        Optional<HostListClient> hosts,
        FrameTransport transport,
        HttpCaller http,
        PrometheusMeterRegistry metrics,
        ConfigurationSource configuration) {

    /** Checks the arguments. */
    public DaemonRuntime {
        Objects.requireNonNull(settings, "settings is null");
        Objects.requireNonNull(incarnation, "incarnation is null");
    }
}
