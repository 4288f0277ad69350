package org.tamaracktrack.daemon.gateway;

import org.jboss.logging.Logger;
import org.tamaracktrack.core.shedding.ConnectionShedder;
import org.tamaracktrack.daemon.load.LoadExchange;

/**
 * Measures how late the traffic thread runs and how many requests this daemon has compared to the
 * others, and decides which new connections are closed unread. Owned by the traffic thread.
 */
final class CrowdingMonitor {
    private static final Logger LOG = Logger.getLogger("tamaracktrack.traffic");

    private final GatewayContext context;
    private final ConnectionShedder shedder = ConnectionShedder.idle();

    private CrowdingMonitor(GatewayContext context) {
        this.context = context;
    }

    /** Starts to measure. */
    static CrowdingMonitor start(GatewayContext context) {
        CrowdingMonitor monitor = new CrowdingMonitor(context);
        context.execute(monitor::scheduleTick);
        return monitor;
    }

    /** Returns whether to close the connection that was just accepted. */
    boolean shedsConnection() {
        boolean sheds = shedder.sheds(context.draw());
        if (sheds) {
            context.metrics().recordShedConnection();
        }
        return sheds;
    }

    private void scheduleTick() {
        long dueMillis = context.nowMillis() + ConnectionShedder.TICK_MILLIS;
        context.after(
                ConnectionShedder.TICK_MILLIS,
                () -> {
                    recordTick(Math.max(0, context.nowMillis() - dueMillis));
                    scheduleTick();
                });
    }

    private void recordTick(long delayMillis) {
        boolean shedBefore = shedder.ratio() > 0;
        int ownRequests = context.loads().ownOutstanding();
        LoadExchange.PeerLoad others = context.peerLoad();
        shedder.recordTick(delayMillis, ownRequests, others.requests(), others.peers());
        boolean shedsNow = shedder.ratio() > 0;
        if (shedsNow != shedBefore) {
            LOG.info(
                    "event="
                            + (shedsNow ? "shedding-begins" : "shedding-ends")
                            + " delay_ms="
                            + delayMillis
                            + " own_requests="
                            + ownRequests
                            + " peer_requests="
                            + others.requests()
                            + " peers="
                            + others.peers());
        }
    }
}
