package org.tamaracktrack.daemon.gateway;

import org.tamaracktrack.core.dispatch.TargetActivity;
import org.tamaracktrack.core.fleet.TargetEntry;

/**
 * The activity of one run of a target, as its answers to this daemon show it. Used on the traffic
 * thread.
 */
final class ObservedTarget implements TargetActivity {
    private final GatewayContext context;
    private final TargetEntry entry;

    ObservedTarget(GatewayContext context, TargetEntry entry) {
        this.context = context;
        this.entry = entry;
    }

    @Override
    public long lastActiveMillis() {
        return context.loads().lastActiveMillis(entry.incarnation());
    }

    // The registry also drops targets that are stopped.
    @Override
    public boolean hasEnded() {
        return !context.isKnown(entry.incarnation())
                && context.targetReachability().hasEnded(entry);
    }
}
