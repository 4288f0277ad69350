package org.tamaracktrack.daemon.gateway;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.jboss.logging.Logger;
import org.tamaracktrack.core.fleet.TargetEntry;
import org.tamaracktrack.core.fleet.TargetIncarnation;
import org.tamaracktrack.core.quarantine.RequestFingerprint;
import org.tamaracktrack.core.quarantine.TargetEnd;

/**
 * Finds out whether a target whose connections broke has ended: if so, it refuses connections. A
 * target that goes on may also abort single responses, and links may be reset. Owned by the traffic
 * thread.
 */
final class TargetEndDetector {
    private static final Logger LOG = Logger.getLogger("tamaracktrack.targets");

    /** A refusal takes a few milliseconds, and longer on a busy host. */
    private static final long CONNECT_TIMEOUT_MILLIS = 1_000;

    /** A process that ends may close its connections shortly before it refuses new ones. */
    private static final long PROBE_INTERVAL_MILLIS = 200;

    private static final int MAX_PROBES = 2;

    private final GatewayContext context;
    private final Map<TargetIncarnation, List<TargetEnd>> pendingEnds = new HashMap<>();
    private TargetEndListener endListener = TargetEndListener.NONE;

    TargetEndDetector(GatewayContext context) {
        this.context = context;
    }

    /** Sets the listener for targets that ended and the requests that they had. */
    void setListener(TargetEndListener newListener) {
        endListener = newListener;
    }

    /** Records that a request got a complete response although a target had ended under it. */
    void recordCompleteAnswer(RequestFingerprint request) {
        endListener.onRequestAnswered(request);
    }

    /**
     * Records that the connection of a request broke.
     *
     * @param entry the target
     * @param request the request
     * @param ran whether the target is known to have run the request
     */
    void recordBrokenConnection(TargetEntry entry, RequestFingerprint request, boolean ran) {
        TargetEnd end = new TargetEnd(request, entry.incarnation(), ran);
        List<TargetEnd> ends = pendingEnds.get(entry.incarnation());
        if (ends != null) {
            ends.add(end);
            return;
        }
        pendingEnds.put(entry.incarnation(), new ArrayList<>(List.of(end)));
        probe(entry, MAX_PROBES);
    }

    private void probe(TargetEntry entry, int probesLeft) {
        InetSocketAddress address =
                new InetSocketAddress(entry.address().ip(), entry.address().port());
        context.http()
                .refusesConnections(address, CONNECT_TIMEOUT_MILLIS)
                .thenAccept(
                        refused -> context.execute(() -> onProbed(entry, probesLeft - 1, refused)));
    }

    private void onProbed(TargetEntry entry, int probesLeft, boolean refused) {
        if (!refused && probesLeft > 0) {
            context.after(PROBE_INTERVAL_MILLIS, () -> probe(entry, probesLeft));
            return;
        }
        List<TargetEnd> ends = pendingEnds.remove(entry.incarnation());
        LOG.info(
                "event="
                        + (refused ? "target-ended" : "target-goes-on")
                        + " target="
                        + entry.incarnation()
                        + " running="
                        + ends.stream().filter(TargetEnd::ran).count()
                        + " requests="
                        + ends.size());
        if (refused) {
            context.loads().of(entry.incarnation()).recordTargetEnd(context.nowMillis());
            endListener.onTargetEnded(List.copyOf(ends));
        }
    }
}
