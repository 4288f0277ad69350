package org.tamaracktrack.daemon.gateway;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import org.jboss.logging.Logger;
import org.tamaracktrack.core.fleet.FleetSnapshot;
import org.tamaracktrack.core.fleet.TargetAddress;
import org.tamaracktrack.core.fleet.TargetEntry;
import org.tamaracktrack.link.http.HttpCaller;

/**
 * Sees whether this host's link is full, by whether some targets' hosts answer at once. Safe for
 * use by any thread.
 */
final class LinkCheck {
    private static final Logger LOG = Logger.getLogger("tamaracktrack.knowledge");

    /** Hosts within a region answer in milliseconds. */
    private static final long ANSWER_MILLIS = 250;

    /** One of them may be down itself. */
    private static final int TARGETS = 2;

    /** A request that was sent this long ago and is answered shows the link as it is now. */
    private static final long RECENT_MILLIS = 150;

    /**
     * Checks are one within this time: targets take a bounded number of connections, from hundreds
     * of daemons together. An older check says nothing of a link that has filled since.
     */
    private static final long SHARED_MILLIS = 100;

    private final HttpCaller http;
    private final Supplier<FleetSnapshot> fleet;
    private final LongSupplier nowMillis;
    private final RandomGenerator random;
    private volatile long promptFromMillis = Long.MIN_VALUE / 2;
    private CompletableFuture<Boolean> latest = CompletableFuture.completedFuture(true);
    private long latestAtMillis = Long.MIN_VALUE / 2;

    LinkCheck(
            HttpCaller http,
            Supplier<FleetSnapshot> fleet,
            LongSupplier nowMillis,
            RandomGenerator random) {
        this.http = http;
        this.fleet = fleet;
        this.nowMillis = nowMillis;
        this.random = random;
    }

    /** A target answered a request; when it did so at once the link was not full. */
    void answered(long sentMillis) {
        if (nowMillis.getAsLong() - sentMillis <= ANSWER_MILLIS) {
            promptFromMillis = sentMillis;
        }
    }

    /**
     * Tries some targets, unless one has answered a request at once of late.
     *
     * @return true when one answers in time, or none is known
     */
    synchronized CompletableFuture<Boolean> reachesTargets() {
        if (nowMillis.getAsLong() - promptFromMillis <= RECENT_MILLIS) {
            return CompletableFuture.completedFuture(true);
        }
        if (nowMillis.getAsLong() - latestAtMillis > SHARED_MILLIS) {
            latestAtMillis = nowMillis.getAsLong();
            latest = any(fleet.get().all().map(TargetEntry::address).collect(Collectors.toList()));
        }
        return latest;
    }

    private CompletableFuture<Boolean> any(List<TargetAddress> addresses) {
        return random.ints(Math.min(TARGETS, addresses.size()), 0, Math.max(1, addresses.size()))
                .mapToObj(addresses::get)
                .map(this::answers)
                .reduce((one, other) -> one.thenCombine(other, Boolean::logicalOr))
                .orElseGet(() -> CompletableFuture.completedFuture(true));
    }

    // A connection that can't even be tried tells nothing, and must not end the read that asks.
    private CompletableFuture<Boolean> answers(TargetAddress address) {
        try {
            InetSocketAddress socket = new InetSocketAddress(address.ip(), address.port());
            return http.answersConnections(socket, ANSWER_MILLIS);
        } catch (RuntimeException failure) {
            LOG.warn("event=link-check-failed target_address=" + address + " cause=" + failure);
            return CompletableFuture.completedFuture(false);
        }
    }
}
