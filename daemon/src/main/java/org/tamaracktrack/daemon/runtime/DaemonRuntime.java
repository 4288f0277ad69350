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
 * The parts that a role is built from.
 *
 * @param settings the settings
 * @param incarnation this run of the process
 * @param control the control thread
 * @param log the platform's log
 * @param hosts the platform's host list, if there is one
 * @param transport connections between daemons
 * @param http calls to outside systems
 * @param metrics the meters
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
