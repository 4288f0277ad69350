package org.tamaracktrack.daemon.gateway;

import org.jboss.logging.Logger;
import org.tamaracktrack.core.shedding.ConnectionShedder;
import org.tamaracktrack.daemon.load.LoadExchange;

/**
 * Decides which new connections are closed unread, by how late the traffic thread runs and how many
 * requests this daemon has compared to the others. Owned by the traffic thread.
 */
final class CrowdingMonitor {
    private static final Logger LOG = Logger.getLogger("tamaracktrack.traffic");

    private final GatewayContext context;
    private final ConnectionShedder shedder = ConnectionShedder.idle();

    CrowdingMonitor(GatewayContext context) {
        this.context = context;
    }

    /** Returns whether to close the connection that was just accepted. */
    boolean shedsConnection() {
        boolean sheds = shedder.sheds(context.draw());
        if (sheds) {
            context.metrics().recordShedConnection();
        }
        return sheds;
    }

    /**
     * Records a measurement of the traffic thread.
     *
     * @param delayMillis how late it ran its tick, in milliseconds
     */
    void recordTick(long delayMillis) {
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
