package org.tamaracktrack.daemon.gateway;

import java.util.Objects;
import java.util.Optional;
import org.tamaracktrack.core.fleet.FleetSnapshot;
import org.tamaracktrack.core.fleet.LeavingTargets;
import org.tamaracktrack.core.fleet.TargetIncarnation;
import org.tamaracktrack.core.route.ServingConfiguration;

/**
 * The configuration and fleet that the control thread last handed to the traffic thread, and what
 * targets have stated in answers since. Immutable.
 *
 * @param configuration the configuration in force; empty before the first
 * @param fleet the targets; those in {@code leavingTargets} are leaving
 * @param fleetKnown whether the registry was read at least once
 * @param leavingTargets the targets that have stated in an answer that they leave
 */
public record GatewayView(
        Optional<ServingConfiguration> configuration,
        FleetSnapshot fleet,
        boolean fleetKnown,
        LeavingTargets leavingTargets) {

    /** Checks the arguments. */
    public GatewayView {
        Objects.requireNonNull(configuration, "configuration is null");
        Objects.requireNonNull(fleet, "fleet is null");
        Objects.requireNonNull(leavingTargets, "leavingTargets is null");
    }

    /**
     * Returns a view without configuration and targets.
     *
     * @return the view
     */
    public static GatewayView empty() {
        return new GatewayView(
                Optional.empty(), FleetSnapshot.empty(), false, LeavingTargets.empty());
    }

    GatewayView with(ServingConfiguration newer) {
        return new GatewayView(Optional.of(newer), fleet, fleetKnown, leavingTargets);
    }

    GatewayView with(FleetSnapshot newer) {
        return new GatewayView(configuration, leavingTargets.mark(newer), true, leavingTargets);
    }

    GatewayView withLeaving(TargetIncarnation incarnation) {
        LeavingTargets newer = leavingTargets.with(incarnation);
        return newer == leavingTargets
                ? this
                : new GatewayView(configuration, newer.mark(fleet), fleetKnown, newer);
    }
}
