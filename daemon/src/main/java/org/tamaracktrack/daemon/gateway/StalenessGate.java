package org.tamaracktrack.daemon.gateway;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.LongSupplier;
import org.jboss.logging.Logger;
import org.tamaracktrack.core.knowledge.DualTimestamp;
import org.tamaracktrack.core.knowledge.StalenessBound;
import org.tamaracktrack.core.knowledge.StalenessState;
import org.tamaracktrack.daemon.load.LoadExchange;

/**
 * Holds requests while the information that decides about them is stale, until it is fresh again or
 * a short time has passed. Owned by the traffic thread, except where stated otherwise.
 */
final class StalenessGate {
    private static final Logger LOG = Logger.getLogger("tamaracktrack.knowledge");

    /**
     * A read of the store takes a few milliseconds. If a daemon cannot finish one in this time, its
     * callers are better served by another daemon.
     */
    private static final long HOLD_MILLIS = 400;

    private static final long CHECK_INTERVAL_MILLIS = 20;
    private static final long NOT_CLOSED = Long.MAX_VALUE;

    private final LoadExchange.Timer timer;
    private final LongSupplier dayMillis;
    private final Runnable onOpened;
    private final List<WatchedSource> watchedSources = new CopyOnWriteArrayList<>();
    private final List<HeldRequest> heldRequests = new ArrayList<>();
    private long closedAtMillis = NOT_CLOSED;
    private boolean checkScheduled;
    private int refusedCount;

    private record WatchedSource(String name, StalenessBound bound, FreshnessSource source) {
        private StalenessState state(DualTimestamp now) {
            return bound.evaluate(source.freshness(), now);
        }
    }

    private record HeldRequest(Runnable proceed, Runnable refuse) {}

    /**
     * Returns a gate without sources.
     *
     * @param timer the timer of the traffic thread
     * @param dayMillis returns the time of day
     * @param onOpened called when the information is fresh again
     */
    StalenessGate(LoadExchange.Timer timer, LongSupplier dayMillis, Runnable onOpened) {
        this.timer = timer;
        this.dayMillis = dayMillis;
        this.onOpened = onOpened;
    }

    /** Watches a source from now on. Safe for use by any thread. */
    void watch(String name, StalenessBound bound, FreshnessSource source) {
        watchedSources.add(new WatchedSource(name, bound, source));
    }

    /** Returns the worst state of all sources. */
    StalenessState state() {
        DualTimestamp now = now();
        return watchedSources.stream()
                .map(watched -> watched.state(now))
                .max(Comparator.naturalOrder())
                .orElse(StalenessState.FRESH);
    }

    private DualTimestamp now() {
        return new DualTimestamp(timer.nowMillis(), dayMillis.getAsLong());
    }

    /** Returns whether any information is too old to act on. */
    boolean isClosed() {
        return state() == StalenessState.STALE;
    }

    /**
     * Returns whether the gate is closed; in that case {@code onOpened} runs as soon as it opens.
     */
    boolean closeIfStale() {
        boolean closed = isClosed();
        if (closed) {
            close();
        }
        return closed;
    }

    /** Returns whether the gate has been closed for so long that requests are refused. */
    boolean refusesRequests() {
        return isClosed() && heldForMillis() >= HOLD_MILLIS;
    }

    private long heldForMillis() {
        return closedAtMillis == NOT_CLOSED ? 0 : timer.nowMillis() - closedAtMillis;
    }

    /**
     * Runs a step at once or once the gate opens, or refuses it.
     *
     * @param proceed called once the information is fresh
     * @param refuse called when that takes too long
     */
    void whenOpen(Runnable proceed, Runnable refuse) {
        if (!isClosed()) {
            open();
            proceed.run();
            return;
        }
        close();
        if (heldForMillis() >= HOLD_MILLIS) {
            refusedCount++;
            refuse.run();
        } else {
            heldRequests.add(new HeldRequest(proceed, refuse));
        }
    }

    private void close() {
        if (closedAtMillis != NOT_CLOSED) {
            return;
        }
        closedAtMillis = timer.nowMillis();
        refusedCount = 0;
        // Scheduled first, so that a read that can't be asked for doesn't end the checks.
        scheduleCheck();
        watchedSources.forEach(this::refreshIfStale);
    }

    private void scheduleCheck() {
        if (!checkScheduled) {
            checkScheduled = true;
            timer.after(CHECK_INTERVAL_MILLIS, this::check);
        }
    }

    private void refreshIfStale(WatchedSource watched) {
        DualTimestamp now = now();
        if (watched.state(now) == StalenessState.STALE) {
            LOG.info(
                    "event=knowledge-stale part="
                            + watched.name()
                            + " age_ms="
                            + watched.source().freshness().ageMillis(now)
                            + " most_ms="
                            + watched.bound().maxAgeMillis());
            watched.source().refresh();
        }
    }

    private void check() {
        checkScheduled = false;
        if (closedAtMillis == NOT_CLOSED) {
            return;
        }
        // Scheduled first, so that a check that fails doesn't end the checks.
        scheduleCheck();
        if (!isClosed()) {
            open();
            return;
        }
        if (heldForMillis() >= HOLD_MILLIS) {
            List<HeldRequest> expired = List.copyOf(heldRequests);
            heldRequests.clear();
            refusedCount += expired.size();
            expired.forEach(request -> runSafely(request.refuse()));
        }
    }

    private void open() {
        if (closedAtMillis == NOT_CLOSED) {
            return;
        }
        LOG.info(
                "event=knowledge-fresh after_ms="
                        + heldForMillis()
                        + " held="
                        + heldRequests.size()
                        + " refused="
                        + refusedCount);
        closedAtMillis = NOT_CLOSED;
        List<HeldRequest> released = List.copyOf(heldRequests);
        heldRequests.clear();
        released.forEach(request -> runSafely(request.proceed()));
        onOpened.run();
    }

    // A request that fails must not prevent the requests behind it from running.
    private static void runSafely(Runnable step) {
        try {
            step.run();
        } catch (RuntimeException failure) {
            LOG.errorf(failure, "event=held-request-failed");
        }
    }
}
