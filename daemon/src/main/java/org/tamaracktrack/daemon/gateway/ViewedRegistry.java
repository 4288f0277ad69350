package org.tamaracktrack.daemon.gateway;

import org.tamaracktrack.core.fleet.FleetSnapshot;
import org.tamaracktrack.core.knowledge.StalenessState;
import org.tamaracktrack.core.stream.RegistryKnowledge;

/** The registry of targets as this daemon knows it. Used on the traffic thread. */
final class ViewedRegistry implements RegistryKnowledge {
    private final GatewayContext context;

    ViewedRegistry(GatewayContext context) {
        this.context = context;
    }

    @Override
    public long asOfMillis() {
        return context.nowMillis() - context.registryAgeMillis();
    }

    @Override
    public FleetSnapshot fleet() {
        return context.view().fleet();
    }

    @Override
    public boolean isAvailable() {
        return context.gate().state() == StalenessState.FRESH;
    }
}
