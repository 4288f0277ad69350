package org.tamaracktrack.daemon.gateway;

import java.net.InetSocketAddress;
import java.util.Map;
import org.tamaracktrack.core.dispatch.LruMap;
import org.tamaracktrack.core.fleet.TargetAddress;
import org.tamaracktrack.core.fleet.TargetEntry;
import org.tamaracktrack.core.fleet.TargetIncarnation;
import org.tamaracktrack.link.http.HttpCaller;

/**
 * Finds out whether a target that has left the registry still runs. A target may work on its
 * requests for some time after its entry was removed. Owned by the traffic thread.
 */
final class TargetReachability {
    /** Leaves time to repeat one lost packet. */
    private static final long CONNECT_TIMEOUT_MILLIS = 1_500;

    private static final long PROBE_INTERVAL_MILLIS = 1_000;

    /** A single connection attempt may be lost. */
    private static final int FAILURES_OF_ENDED_TARGET = 2;

    private static final int MAX_TARGETS = 256;
    private static final long NEVER = Long.MIN_VALUE / 2;

    private final GatewayContext context;
    private final Map<TargetIncarnation, Probe> probes = LruMap.of(MAX_TARGETS);

    private record Probe(boolean pending, int failures, long atMillis) {
        private boolean hasEnded() {
            return failures >= FAILURES_OF_ENDED_TARGET;
        }
    }

    TargetReachability(GatewayContext context) {
        this.context = context;
    }

    /**
     * Returns whether a target that has left the registry is known to have ended: its host does not
     * answer, no process listens at its address, or another target has taken it. Starts to find out
     * if that is not known yet.
     */
    boolean hasEnded(TargetEntry entry) {
        Probe known = probes.getOrDefault(entry.incarnation(), new Probe(false, 0, NEVER));
        if (!known.pending() && context.nowMillis() - known.atMillis() >= PROBE_INTERVAL_MILLIS) {
            probe(entry, known.failures());
        }
        return known.hasEnded();
    }

    private void probe(TargetEntry entry, int failures) {
        if (isTaken(entry.address())) {
            record(entry, new Probe(false, FAILURES_OF_ENDED_TARGET, context.nowMillis()));
            return;
        }
        record(entry, new Probe(true, failures, context.nowMillis()));
        InetSocketAddress address =
                new InetSocketAddress(entry.address().ip(), entry.address().port());
        HttpCaller http = context.http();
        http.answersConnections(address, CONNECT_TIMEOUT_MILLIS)
                .thenCombine(
                        http.refusesConnections(address, CONNECT_TIMEOUT_MILLIS),
                        (answered, refused) -> answered && !refused)
                .thenAccept(
                        reachable ->
                                context.execute(
                                        () ->
                                                record(
                                                        entry,
                                                        new Probe(
                                                                false,
                                                                reachable ? 0 : failures + 1,
                                                                context.nowMillis()))));
    }

    private boolean isTaken(TargetAddress address) {
        return context.view().fleet().all().anyMatch(other -> other.address().equals(address));
    }

    private void record(TargetEntry entry, Probe probe) {
        probes.put(entry.incarnation(), probe);
    }
}
