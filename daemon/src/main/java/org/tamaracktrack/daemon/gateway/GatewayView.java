package org.tamaracktrack.daemon.gateway;

import java.util.Objects;
import java.util.Optional;
import org.tamaracktrack.core.fleet.FleetSnapshot;
import org.tamaracktrack.core.route.ServingConfiguration;

/**
 * The configuration and fleet that the control thread last handed to the traffic thread. Immutable.
 *
 * @param configuration the configuration in force; empty before the first
 * @param fleet the targets
 * @param fleetKnown whether the registry was read at least once
 */
public record GatewayView(
        Optional<ServingConfiguration> configuration, FleetSnapshot fleet, boolean fleetKnown) {

    /** Checks the arguments. */
    public GatewayView {
        Objects.requireNonNull(configuration, "configuration is null");
        Objects.requireNonNull(fleet, "fleet is null");
    }

    /**
     * Returns a view without configuration and targets.
     *
     * @return the view
     */
    public static GatewayView empty() {
        return new GatewayView(Optional.empty(), FleetSnapshot.empty(), false);
    }

    GatewayView with(ServingConfiguration newer) {
        return new GatewayView(Optional.of(newer), fleet, fleetKnown);
    }

    GatewayView with(FleetSnapshot newer) {
        return new GatewayView(configuration, newer, true);
    }
}
