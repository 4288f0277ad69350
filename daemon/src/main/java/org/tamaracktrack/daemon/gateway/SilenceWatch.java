package org.tamaracktrack.daemon.gateway;

import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * Notices that a target has fallen silent while it has a request. One that died or was cut off
 * sends no reset, and its callers would wait for their whole time; silence on every connection to
 * it shows it. On the traffic thread.
 */
final class SilenceWatch {
    /** Engines send events every few hundredths of a second, services answer within a quarter. */
    private static final long SILENT_MILLIS = 1_000;

    private static final long LOOK_MILLIS = 200;

    /** A thread that is this late has not read what lies in its sockets: it looks again then. */
    private static final long LATE_MILLIS = 50;

    private final GatewayServices services;
    private final Supplier<Optional<TargetAttempt>> attempt;
    private final BooleanSupplier over;
    private final Consumer<TargetAttempt> silent;

    private SilenceWatch(
            GatewayServices services,
            Supplier<Optional<TargetAttempt>> attempt,
            BooleanSupplier over,
            Consumer<TargetAttempt> silent) {
        this.services = services;
        this.attempt = attempt;
        this.over = over;
        this.silent = silent;
    }

    /**
     * Starts to watch.
     *
     * @param services the traffic thread's
     * @param attempt the attempt under way, if there is one
     * @param over whether the request has ended
     * @param silent hears of an attempt whose target is silent, again and again
     */
    static void start(
            GatewayServices services,
            Supplier<Optional<TargetAttempt>> attempt,
            BooleanSupplier over,
            Consumer<TargetAttempt> silent) {
        new SilenceWatch(services, attempt, over, silent).lookIn(SILENT_MILLIS);
    }

    private void lookIn(long millis) {
        long dueMillis = services.nowMillis() + millis;
        services.after(millis, () -> look(dueMillis));
    }

    private void look(long dueMillis) {
        if (services.nowMillis() - dueMillis > LATE_MILLIS) {
            services.after(LATE_MILLIS, this::lookNow);
        } else {
            lookNow();
        }
    }

    private void lookNow() {
        if (over.getAsBoolean()) {
            return;
        }
        long nowMillis = services.nowMillis();
        attempt.get()
                .filter(sent -> sent.silentMillis(nowMillis) >= SILENT_MILLIS)
                .ifPresent(silent);
        if (!over.getAsBoolean()) {
            lookIn(LOOK_MILLIS);
        }
    }
}
