package org.tamaracktrack.daemon.gateway;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import org.jboss.logging.Logger;
import org.tamaracktrack.core.fleet.TargetEntry;
import org.tamaracktrack.core.fleet.TargetIncarnation;
import org.tamaracktrack.core.quarantine.PartFingerprint;
import org.tamaracktrack.core.quarantine.RequestFingerprint;
import org.tamaracktrack.core.quarantine.Suspect;
import org.tamaracktrack.core.quarantine.TargetEnd;

/**
 * Finds out whether a target whose connections broke has ended: if so, it refuses connections, or
 * the registry drops it. A target that goes on may also abort single responses, and links may be
 * reset. Owned by the traffic thread.
 */
final class TargetEndDetector {
    private static final Logger LOG = Logger.getLogger("tamaracktrack.targets");

    /** A refusal takes a few milliseconds, and longer on a busy host. */
    private static final long CONNECT_TIMEOUT_MILLIS = 1_000;

    /** A process that ends may close its connections shortly before it refuses new ones. */
    private static final long PROBE_INTERVAL_MILLIS = 200;

    private static final int MAX_PROBES = 2;
    private static final long REGISTRY_CHECK_INTERVAL_MILLIS = 500;
    private static final int MAX_REGISTRY_CHECKS = 4;

    private final GatewayContext context;
    private final Map<TargetIncarnation, List<TargetEnd>> pendingEnds = new HashMap<>();
    private TargetEndListener endListener = TargetEndListener.NONE;

    TargetEndDetector(GatewayContext context) {
        this.context = context;
    }

    /** Sets the listener for targets that ended and the suspects that they had. */
    void setListener(TargetEndListener newListener) {
        endListener = newListener;
    }

    /** Records that a target has answered a suspect. */
    void recordAnswer(Suspect suspect) {
        endListener.onAnswered(suspect);
    }

    /**
     * Records that the connection of a request broke.
     *
     * @param entry the target
     * @param suspects the request and the parts of its prompt, each with this target
     */
    void recordBrokenConnection(TargetEntry entry, List<TargetEnd> suspects) {
        List<TargetEnd> ends = pendingEnds.get(entry.incarnation());
        if (ends != null) {
            ends.addAll(suspects);
            return;
        }
        pendingEnds.put(entry.incarnation(), new ArrayList<>(suspects));
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
        if (refused) {
            onEnded(entry);
        } else if (probesLeft > 0) {
            context.after(PROBE_INTERVAL_MILLIS, () -> probe(entry, probesLeft));
        } else {
            checkRegistry(entry, MAX_REGISTRY_CHECKS);
        }
    }

    // A target that is replaced at once at its address, or whose host answers for it, accepts
    // connections although it has ended.
    private void checkRegistry(TargetEntry entry, int checksLeft) {
        if (!context.isKnown(entry.incarnation())) {
            onEnded(entry);
        } else if (checksLeft > 0) {
            context.after(
                    REGISTRY_CHECK_INTERVAL_MILLIS, () -> checkRegistry(entry, checksLeft - 1));
        } else {
            log("target-goes-on", entry, pendingEnds.remove(entry.incarnation()));
        }
    }

    private void onEnded(TargetEntry entry) {
        List<TargetEnd> ends = pendingEnds.remove(entry.incarnation());
        log("target-ended", entry, ends);
        context.loads().of(entry.incarnation()).recordTargetEnd(context.nowMillis());
        endListener.onTargetEnded(
                ends.stream()
                        .filter(end -> !context.isExcused(end.suspect()))
                        .distinct()
                        .collect(Collectors.toList()));
    }

    private static void log(String event, TargetEntry entry, List<TargetEnd> ends) {
        List<TargetEnd> requests =
                ends.stream()
                        .filter(end -> end.suspect() instanceof RequestFingerprint)
                        .collect(Collectors.toList());
        LOG.info(
                "event="
                        + event
                        + " target="
                        + entry.incarnation()
                        + " running="
                        + requests.stream().filter(TargetEnd::ran).count()
                        + " requests="
                        + requests.size()
                        + " parts="
                        + ends.stream()
                                .map(TargetEnd::suspect)
                                .filter(suspect -> suspect instanceof PartFingerprint)
                                .distinct()
                                .count());
    }
}
