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
 * Finds out whether a target whose connections broke has ended: an ended one refuses connections. A
 * target may also break off single answers, and links may be reset. Owned by the traffic thread.
 */
final class EndedTargets {
    private static final Logger LOG = Logger.getLogger("tamaracktrack.targets");

    /** A refusal takes a few milliseconds, and longer on a busy host. */
    private static final long ANSWER_MILLIS = 1_000;

    /** A process that ends may close its connections a moment before it refuses new ones. */
    private static final long SECOND_LOOK_MILLIS = 200;

    private static final int LOOKS = 2;

    private final GatewayServices services;
    private final Map<TargetIncarnation, List<TargetEnd>> broken = new HashMap<>();
    private EndsListener listener = EndsListener.NONE;

    EndedTargets(GatewayServices services) {
        this.services = services;
    }

    /** Names who hears of targets that have ended, with what they had. */
    void listener(EndsListener newListener) {
        listener = newListener;
    }

    /** A request got a whole answer, though a target had ended under it. */
    void answered(RequestFingerprint request) {
        listener.onAnswered(request);
    }

    /**
     * The connection of a request broke.
     *
     * @param entry the target
     * @param request the request
     * @param ran whether the target is known to have run it
     */
    void broke(TargetEntry entry, RequestFingerprint request, boolean ran) {
        TargetEnd end = new TargetEnd(request, entry.incarnation(), ran);
        List<TargetEnd> ends = broken.get(entry.incarnation());
        if (ends != null) {
            ends.add(end);
            return;
        }
        broken.put(entry.incarnation(), new ArrayList<>(List.of(end)));
        look(entry, LOOKS);
    }

    private void look(TargetEntry entry, int looks) {
        InetSocketAddress address =
                new InetSocketAddress(entry.address().ip(), entry.address().port());
        services.http()
                .refusesConnections(address, ANSWER_MILLIS)
                .thenAccept(refused -> services.execute(() -> looked(entry, looks - 1, refused)));
    }

    private void looked(TargetEntry entry, int looks, boolean refused) {
        if (!refused && looks > 0) {
            services.after(SECOND_LOOK_MILLIS, () -> look(entry, looks));
            return;
        }
        List<TargetEnd> ends = broken.remove(entry.incarnation());
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
            services.loads().of(entry.incarnation()).recordTargetEnd(services.nowMillis());
            listener.onEnded(List.copyOf(ends));
        }
    }
}
