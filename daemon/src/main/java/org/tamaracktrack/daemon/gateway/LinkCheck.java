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
 * Checks whether this host's link is saturated, by whether the hosts of some targets answer
 * promptly. Safe for use by any thread.
 */
final class LinkCheck {
    private static final Logger LOG = Logger.getLogger("tamaracktrack.knowledge");

    /** Hosts within a region answer within milliseconds. */
    private static final long CONNECT_TIMEOUT_MILLIS = 250;

    /** More than one, since one of them may itself be down. */
    private static final int PROBED_TARGETS = 2;

    /**
     * A request sent at most this long ago and answered promptly shows the present state of the
     * link.
     */
    private static final long RECENT_REQUEST_MILLIS = 150;

    /**
     * Calls within this time share one check, because targets accept a limited number of
     * connections from hundreds of daemons together. An older check does not show whether the link
     * has become saturated since.
     */
    private static final long CHECK_SHARING_MILLIS = 100;

    private final HttpCaller http;
    private final Supplier<FleetSnapshot> fleet;
    private final LongSupplier nowMillis;
    private final RandomGenerator random;
    private volatile long lastPromptRequestMillis = Long.MIN_VALUE / 2;
    private CompletableFuture<Boolean> latestCheck = CompletableFuture.completedFuture(true);
    private long latestCheckAtMillis = Long.MIN_VALUE / 2;

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

    /**
     * Records that a target answered a request; a prompt answer shows that the link is not
     * saturated.
     */
    void recordAnswer(long sentMillis) {
        if (nowMillis.getAsLong() - sentMillis <= CONNECT_TIMEOUT_MILLIS) {
            lastPromptRequestMillis = sentMillis;
        }
    }

    /**
     * Connects to some targets, unless one has recently answered a request promptly.
     *
     * @return true when one of them answers in time, or when no target is known
     */
    synchronized CompletableFuture<Boolean> reachesTargets() {
        if (nowMillis.getAsLong() - lastPromptRequestMillis <= RECENT_REQUEST_MILLIS) {
            return CompletableFuture.completedFuture(true);
        }
        if (nowMillis.getAsLong() - latestCheckAtMillis > CHECK_SHARING_MILLIS) {
            latestCheckAtMillis = nowMillis.getAsLong();
            latestCheck =
                    anyAnswers(
                            fleet.get()
                                    .all()
                                    .map(TargetEntry::address)
                                    .collect(Collectors.toList()));
        }
        return latestCheck;
    }

    private CompletableFuture<Boolean> anyAnswers(List<TargetAddress> addresses) {
        return random.ints(
                        Math.min(PROBED_TARGETS, addresses.size()),
                        0,
                        Math.max(1, addresses.size()))
                .mapToObj(addresses::get)
                .map(this::answers)
                .reduce((first, second) -> first.thenCombine(second, Boolean::logicalOr))
                .orElseGet(() -> CompletableFuture.completedFuture(true));
    }

    // A connection that cannot even be attempted shows nothing about the link, and must not fail
    // the read that runs this check.
    private CompletableFuture<Boolean> answers(TargetAddress address) {
        try {
            InetSocketAddress socket = new InetSocketAddress(address.ip(), address.port());
            return http.answersConnections(socket, CONNECT_TIMEOUT_MILLIS);
        } catch (RuntimeException failure) {
            LOG.warn("event=link-check-failed target_address=" + address + " cause=" + failure);
            return CompletableFuture.completedFuture(false);
        }
    }
}
