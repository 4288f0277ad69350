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
 * Keeps requests back while what decides about them is too old, until it is fresh again or a short
 * time is over. Owned by the traffic thread, but where it says otherwise.
 */
final class KnowledgeGate {
    private static final Logger LOG = Logger.getLogger("tamaracktrack.knowledge");

    /**
     * A read of the store takes some milliseconds. Callers of a daemon that can't finish one in
     * this time are better served by another.
     */
    private static final long HOLD_MILLIS = 400;

    private static final long LOOK_MILLIS = 20;
    private static final long OPEN = Long.MAX_VALUE;

    private final LoadExchange.Timer timer;
    private final LongSupplier dayMillis;
    private final Runnable opened;
    private final List<Watched> watched = new CopyOnWriteArrayList<>();
    private final List<Held> held = new ArrayList<>();
    private long closedAtMillis = OPEN;
    private boolean looking;
    private int refused;

    private record Watched(String name, StalenessBound bound, KnowledgeSource source) {
        private StalenessState standing(DualTimestamp now) {
            return bound.evaluate(source.knowledge(), now);
        }
    }

    private record Held(Runnable proceed, Runnable refuse) {}

    /**
     * Returns a gate that watches nothing yet.
     *
     * @param timer the traffic thread's
     * @param dayMillis the time of day
     * @param opened runs when what is known is fresh again
     */
    KnowledgeGate(LoadExchange.Timer timer, LongSupplier dayMillis, Runnable opened) {
        this.timer = timer;
        this.dayMillis = dayMillis;
        this.opened = opened;
    }

    /** Watches a part of the store from now on; for any thread. */
    void watch(String name, StalenessBound bound, KnowledgeSource source) {
        watched.add(new Watched(name, bound, source));
    }

    /** How the worst of what is known may be acted on. */
    StalenessState standing() {
        DualTimestamp now = now();
        return watched.stream()
                .map(part -> part.standing(now))
                .max(Comparator.naturalOrder())
                .orElse(StalenessState.FRESH);
    }

    private DualTimestamp now() {
        return new DualTimestamp(timer.nowMillis(), dayMillis.getAsLong());
    }

    /** Whether what is known is too old to act on. */
    boolean closed() {
        return standing() == StalenessState.STALE;
    }

    /** Whether it is too old; then {@code opened} runs as soon as it is not. */
    boolean watchedWhileClosed() {
        boolean closed = closed();
        if (closed) {
            close();
        }
        return closed;
    }

    /** Whether it has been too old for so long that requests are refused. */
    boolean refuses() {
        return closed() && heldForMillis() >= HOLD_MILLIS;
    }

    private long heldForMillis() {
        return closedAtMillis == OPEN ? 0 : timer.nowMillis() - closedAtMillis;
    }

    /**
     * Goes on at once, later, or not at all.
     *
     * @param proceed what to do once what is known is fresh
     * @param refuse what to do when that takes too long
     */
    void whenOpen(Runnable proceed, Runnable refuse) {
        if (!closed()) {
            open();
            proceed.run();
            return;
        }
        close();
        if (heldForMillis() >= HOLD_MILLIS) {
            refused++;
            refuse.run();
        } else {
            held.add(new Held(proceed, refuse));
        }
    }

    private void close() {
        if (closedAtMillis != OPEN) {
            return;
        }
        closedAtMillis = timer.nowMillis();
        refused = 0;
        watched.forEach(this::refreshIfStale);
        lookLater();
    }

    private void lookLater() {
        if (!looking) {
            looking = true;
            timer.after(LOOK_MILLIS, this::look);
        }
    }

    private void refreshIfStale(Watched part) {
        DualTimestamp now = now();
        if (part.standing(now) == StalenessState.STALE) {
            LOG.info(
                    "event=knowledge-stale part="
                            + part.name()
                            + " age_ms="
                            + part.source().knowledge().ageMillis(now)
                            + " most_ms="
                            + part.bound().maxAgeMillis());
            part.source().refresh();
        }
    }

    private void look() {
        looking = false;
        if (!closed()) {
            open();
            return;
        }
        if (heldForMillis() >= HOLD_MILLIS) {
            List<Held> over = List.copyOf(held);
            held.clear();
            refused += over.size();
            over.forEach(request -> run(request.refuse()));
        }
        lookLater();
    }

    private void open() {
        if (closedAtMillis == OPEN) {
            return;
        }
        LOG.info(
                "event=knowledge-fresh after_ms="
                        + heldForMillis()
                        + " held="
                        + held.size()
                        + " refused="
                        + refused);
        closedAtMillis = OPEN;
        List<Held> released = List.copyOf(held);
        held.clear();
        released.forEach(request -> run(request.proceed()));
        opened.run();
    }

    // One request that fails must not take those behind it along.
    private static void run(Runnable step) {
        try {
            step.run();
        } catch (RuntimeException failure) {
            LOG.errorf(failure, "event=held-request-failed");
        }
    }
}
