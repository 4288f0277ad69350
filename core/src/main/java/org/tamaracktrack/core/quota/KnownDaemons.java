package org.tamaracktrack.core.quota;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.stream.Collectors;
import org.tamaracktrack.core.dispatch.Peer;

/**
 * The daemons on recent lists. Lists come from the holder of the lease; those of a new holder are
 * incomplete at first, so a daemon stays known for some time after it was last listed.
 *
 * <p>Each daemon may entrust the same share of all quotas to a coordinator: one divided by the
 * number of known daemons. The shares of all daemons therefore add up to at most 1. A daemon that
 * has started does not know those that are cut off, so it takes the larger number of another
 * daemon.
 */
final class KnownDaemons {
    /** Bridges an outage of the store, during which there are no lists. */
    private static final long LIST_VALIDITY_MILLIS = 15_000;

    /** Longer than the validity, so that a daemon without lists stops before others forget it. */
    private static final long RETENTION_MILLIS = 25_000;

    /** The first lists of a holder that has just started lack most daemons. */
    private static final long SETTLING_MILLIS = 300;

    /**
     * Assumed by a daemon that has started, until its lists are complete, so that it can serve some
     * requests when all daemons restart together.
     */
    private static final int UNKNOWN_DAEMONS = 64;

    /** Counts of others are repeated several times a second while they are true. */
    private static final long TOLD_VALIDITY_MILLIS = 2_000;

    private static final long NEVER = Long.MIN_VALUE / 2;

    private final Map<String, Listed> byAddress = new HashMap<>();
    private long firstListedMillis = Long.MAX_VALUE;
    private long lastListedMillis = NEVER;

    private final Deque<Told> told = new ArrayDeque<>();

    private record Listed(Peer daemon, long atMillis) {}

    private record Told(int daemons, long atMillis) {}

    private KnownDaemons() {}

    static KnownDaemons empty() {
        return new KnownDaemons();
    }

    /**
     * Records a list that includes this daemon.
     *
     * @param daemons the daemons on the list
     * @param atMillis when the list was valid, by the monotonic clock, in milliseconds
     */
    void record(Collection<Peer> daemons, long atMillis) {
        Objects.requireNonNull(daemons, "daemons is null");
        firstListedMillis = Math.min(firstListedMillis, atMillis);
        lastListedMillis = Math.max(lastListedMillis, atMillis);
        daemons.forEach(daemon -> byAddress.put(daemon.address(), new Listed(daemon, atMillis)));
        byAddress
                .values()
                .removeIf(listed -> lastListedMillis - listed.atMillis() > RETENTION_MILLIS);
    }

    /** Records how many daemons another one has seen on lists. */
    void recordCount(int daemons, long nowMillis) {
        while (!told.isEmpty() && told.peekLast().daemons() <= daemons) {
            told.removeLast();
        }
        told.addLast(new Told(daemons, nowMillis));
    }

    /** Returns how many daemons this one has seen on lists. */
    int count() {
        return byAddress.size();
    }

    /** Suspends the share after a freeze of the process, during which the clock stood still. */
    void restartAfterFreeze() {
        lastListedMillis = NEVER;
    }

    /** Returns the addresses of the known daemons, the most preferred coordinator first. */
    List<String> ranking() {
        return CoordinatorRanking.of(
                byAddress.values().stream().map(Listed::daemon).collect(Collectors.toList()));
    }

    /** Returns this daemon's share of all quotas, from 0 to 1. */
    double share(long nowMillis) {
        if (byAddress.isEmpty() || nowMillis - firstListedMillis < SETTLING_MILLIS) {
            return 1.0 / UNKNOWN_DAEMONS;
        }
        return nowMillis - lastListedMillis <= LIST_VALIDITY_MILLIS
                ? 1.0 / Math.max(count(), toldCount(nowMillis))
                : 0;
    }

    // Counts decrease along the queue, so the first one that is not too old is the largest.
    private int toldCount(long nowMillis) {
        while (!told.isEmpty() && nowMillis - told.peekFirst().atMillis() > TOLD_VALIDITY_MILLIS) {
            told.removeFirst();
        }
        return told.isEmpty() ? 0 : told.peekFirst().daemons();
    }
}
