package org.tamaracktrack.daemon.settings;

import java.util.Locale;
import java.util.Objects;
import org.tamaracktrack.core.admission.AdmissionKind;
import org.tamaracktrack.core.placement.PlacementKind;
import org.tamaracktrack.core.routing.RoutingKind;

/**
 * All settings that a daemon reads from its command line and environment.
 *
 * @param settings the settings that both roles need at run time
 * @param routing how an entry daemon chooses targets
 * @param placement how an entry daemon that holds the planner duty places models
 * @param admission how a target daemon admits waiting requests
 * @param checkOnly whether to exit once the settings are checked
 */
public record DaemonSettings(
        Settings settings,
        RoutingKind routing,
        PlacementKind placement,
        AdmissionKind admission,
        boolean checkOnly) {

    /** Checks the arguments. */
    public DaemonSettings {
        Objects.requireNonNull(settings, "settings is null");
        Objects.requireNonNull(routing, "routing is null");
    }

    /**
     * Returns the settings on one line for the log, without the shared secret.
     *
     * @return key=value fields
     */
    public String describe() {
        return "role="
                + settings.role()
                + " host="
                + settings.host()
                + " data_centre="
                + settings.dataCentre()
                + " target="
                + settings.target().map(Object::toString).orElse("none")
                + " http="
                + settings.httpAddress()
                + " peer="
                + settings.peerAddress()
                + " log="
                + settings.logAddress()
                + " host_list="
                + settings.hostListAddress().map(Object::toString).orElse("none")
                + " peers="
                + settings.peers()
                + " drain_millis="
                + settings.drainMillis()
                + " balancer_lag_millis="
                + settings.balancerLagMillis()
                + " report_millis="
                + settings.reportMillis()
                + " maximum_body_bytes="
                + settings.maximumBodyBytes()
                + " maximum_connections="
                + settings.maximumConnections()
                + " routing="
                + routing.text()
                + " placement="
                + placement.name().toLowerCase(Locale.ROOT)
                + " admission="
                + admission.text();
    }
}
