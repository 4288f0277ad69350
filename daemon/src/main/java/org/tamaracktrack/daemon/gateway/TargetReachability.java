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
    private static final int MAX_TARGETS = 256;

    private final GatewayContext context;
    private final Map<TargetIncarnation, Probe> probes = LruMap.of(MAX_TARGETS);

    private enum State {
        PENDING,
        REACHABLE,
        ENDED
    }

    private record Probe(State state, long atMillis) {}

    TargetReachability(GatewayContext context) {
        this.context = context;
    }

    /**
     * Returns whether a target that has left the registry is known to have ended: its host does not
     * answer, no process listens at its address, or another target has taken it. Starts to find out
     * if that is not known yet.
     */
    boolean hasEnded(TargetEntry entry) {
        Probe known = probes.get(entry.incarnation());
        if (known == null || isOutdated(known)) {
            probe(entry);
            return known != null && known.state() == State.ENDED;
        }
        return known.state() == State.ENDED;
    }

    private boolean isOutdated(Probe probe) {
        return probe.state() != State.PENDING
                && context.nowMillis() - probe.atMillis() >= PROBE_INTERVAL_MILLIS;
    }

    private void probe(TargetEntry entry) {
        if (isTaken(entry.address())) {
            record(entry, State.ENDED);
            return;
        }
        record(entry, State.PENDING);
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
                                                        reachable
                                                                ? State.REACHABLE
                                                                : State.ENDED)));
    }

    private boolean isTaken(TargetAddress address) {
        return context.view().fleet().all().anyMatch(other -> other.address().equals(address));
    }

    private void record(TargetEntry entry, State state) {
        probes.put(entry.incarnation(), new Probe(state, context.nowMillis()));
    }
}
