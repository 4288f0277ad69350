package org.tamaracktrack.daemon.gateway;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.tamaracktrack.core.fleet.Fleet;
import org.tamaracktrack.core.fleet.TargetAddress;
import org.tamaracktrack.core.fleet.TargetEntry;
import org.tamaracktrack.link.http.HttpCaller;

/**
 * Sees whether this host's link is full, by whether some targets' hosts answer at once. Safe for
 * use by any thread.
 */
final class LinkCheck {
    /** Hosts within a region answer in milliseconds. */
    private static final long ANSWER_MILLIS = 250;

    /** One of them may be down itself. */
    private static final int TARGETS = 2;

    /** A request that was sent this long ago and is answered shows the link as it is now. */
    private static final long RECENT_MILLIS = 150;

    /** Checks that are asked for together are one. */
    private static final long SHARED_MILLIS = 100;

    private final HttpCaller http;
    private final Supplier<Fleet> fleet;
    private final LongSupplier nowMillis;
    private final AtomicInteger turn = new AtomicInteger();
    private volatile long promptFromMillis = Long.MIN_VALUE / 2;
    private CompletableFuture<Boolean> latest = CompletableFuture.completedFuture(true);
    private long latestAtMillis = Long.MIN_VALUE / 2;

    LinkCheck(HttpCaller http, Supplier<Fleet> fleet, LongSupplier nowMillis) {
        this.http = http;
        this.fleet = fleet;
        this.nowMillis = nowMillis;
    }

    /** A target answered a request; when it did so at once the link was not full. */
    void answered(long sentMillis) {
        if (nowMillis.getAsLong() - sentMillis <= ANSWER_MILLIS) {
            promptFromMillis = sentMillis;
        }
    }

    /**
     * Tries some targets by turns, unless one has answered a request at once of late.
     *
     * @return true when one answers in time, or none is known
     */
    synchronized CompletableFuture<Boolean> reachesTargets() {
        if (nowMillis.getAsLong() - promptFromMillis <= RECENT_MILLIS) {
            return CompletableFuture.completedFuture(true);
        }
        if (nowMillis.getAsLong() - latestAtMillis > SHARED_MILLIS) {
            latestAtMillis = nowMillis.getAsLong();
            latest = any(tried());
        }
        return latest;
    }

    private List<CompletableFuture<Boolean>> tried() {
        List<InetSocketAddress> addresses =
                fleet.get()
                        .all()
                        .map(TargetEntry::address)
                        .map(LinkCheck::address)
                        .collect(Collectors.toList());
        int first = turn.getAndAdd(TARGETS);
        return IntStream.range(0, Math.min(TARGETS, addresses.size()))
                .map(index -> Math.floorMod(first + index, addresses.size()))
                .mapToObj(index -> http.answersConnections(addresses.get(index), ANSWER_MILLIS))
                .collect(Collectors.toList());
    }

    private static InetSocketAddress address(TargetAddress address) {
        return new InetSocketAddress(address.ip(), address.port());
    }

    private static CompletableFuture<Boolean> any(List<CompletableFuture<Boolean>> answers) {
        return answers.stream()
                .reduce((one, other) -> one.thenCombine(other, Boolean::logicalOr))
                .orElseGet(() -> CompletableFuture.completedFuture(true));
    }
}
