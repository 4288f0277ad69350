package org.tamaracktrack.core.dispatch;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.tamaracktrack.core.fleet.TargetIncarnation;

/** What each peer last said that it has at targets, and the sums. Owned by the traffic thread. */
public final class PeerShares {
    /** A peer that says nothing for this long is gone, and its requests with it. */
    private static final long SILENT_MILLIS = 1_000;

    private final Map<String, Told> told = new HashMap<>();

    private record Told(Map<TargetIncarnation, LoadShare> shares, long atMillis) {}

    private PeerShares() {}

    /**
     * Returns shares of which nothing was said.
     *
     * @return no shares
     */
    public static PeerShares empty() {
        return new PeerShares();
    }

    /**
     * A peer said what it has; it replaces what the peer said before.
     *
     * @param process names the peer's process
     * @param shares what it has, by target
     * @param nowMillis the monotonic time
     * @return what all peers have together, at each target at which this one has or had something
     */
    public Map<TargetIncarnation, LoadShare> told(
            String process, Map<TargetIncarnation, LoadShare> shares, long nowMillis) {
        Objects.requireNonNull(process, "process is null");
        Set<TargetIncarnation> touched = new HashSet<>(shares.keySet());
        told.values().removeIf(said -> nowMillis - said.atMillis() > SILENT_MILLIS);
        Told before = told.put(process, new Told(Map.copyOf(shares), nowMillis));
        if (before != null) {
            touched.addAll(before.shares().keySet());
        }
        return touched.stream().collect(Collectors.toMap(Function.identity(), this::sum));
    }

    private LoadShare sum(TargetIncarnation target) {
        return told.values().stream()
                .map(said -> said.shares().getOrDefault(target, LoadShare.empty()))
                .reduce(LoadShare.empty(), LoadShare::plus);
    }
}
