package org.tamaracktrack.core.dispatch;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.tamaracktrack.core.fleet.TargetIncarnation;

/**
 * Keeps the load shares that each peer last reported and sums them by target. Confined to the
 * traffic thread.
 */
public final class PeerLoadShares {
    /** A peer that sent no report for this long is considered gone, together with its requests. */
    private static final long EXPIRY_MILLIS = 1_000;

    private final Map<String, Report> reports = new HashMap<>();

    private record Report(Map<TargetIncarnation, LoadShare> shares, long atMillis) {}

    private PeerLoadShares() {}

    /**
     * Returns a collection without reports.
     *
     * @return the empty collection
     */
    public static PeerLoadShares empty() {
        return new PeerLoadShares();
    }

    /**
     * Replaces the report of a peer.
     *
     * @param process the process of the peer
     * @param shares the load shares of the peer, by target
     * @param nowMillis the monotonic time in milliseconds
     * @return the sums over all peers, for each target of the new or the previous report
     */
    public Map<TargetIncarnation, LoadShare> update(
            String process, Map<TargetIncarnation, LoadShare> shares, long nowMillis) {
        Objects.requireNonNull(process, "process is null");
        Set<TargetIncarnation> affectedTargets = new HashSet<>(shares.keySet());
        reports.values().removeIf(report -> nowMillis - report.atMillis() > EXPIRY_MILLIS);
        Report previous = reports.put(process, new Report(Map.copyOf(shares), nowMillis));
        if (previous != null) {
            affectedTargets.addAll(previous.shares().keySet());
        }
        return affectedTargets.stream().collect(Collectors.toMap(Function.identity(), this::sum));
    }

    /**
     * Returns the outstanding requests of all peers at all targets.
     *
     * @param nowMillis the monotonic time in milliseconds
     * @return the number, without peers that sent no report recently
     */
    public int totalOutstanding(long nowMillis) {
        return reports.values().stream()
                .filter(report -> nowMillis - report.atMillis() <= EXPIRY_MILLIS)
                .flatMap(report -> report.shares().values().stream())
                .mapToInt(LoadShare::outstanding)
                .sum();
    }

    private LoadShare sum(TargetIncarnation target) {
        return reports.values().stream()
                .map(report -> report.shares().getOrDefault(target, LoadShare.empty()))
                .reduce(LoadShare.empty(), LoadShare::plus);
    }
}
