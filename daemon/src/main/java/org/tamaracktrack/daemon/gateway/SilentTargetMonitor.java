package org.tamaracktrack.daemon.gateway;

import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * Detects that a target has become silent while it has a request. A target that died or was cut off
 * sends no reset, and its callers would wait for their whole timeout; silence on every connection
 * to it reveals this. Used on the traffic thread.
 */
final class SilentTargetMonitor {
    /**
     * Engines send events every few hundredths of a second, and services answer within a quarter of
     * a second.
     */
    private static final long SILENCE_LIMIT_MILLIS = 1_000;

    private static final long CHECK_INTERVAL_MILLIS = 200;

    /**
     * A thread whose timer fires this late has not yet read its sockets, so the check is repeated
     * after this time.
     */
    private static final long LATE_TIMER_MILLIS = 50;

    private final GatewayContext context;
    private final Supplier<Optional<TargetAttempt>> currentAttempt;
    private final BooleanSupplier requestEnded;
    private final Consumer<TargetAttempt> onSilent;

    private SilentTargetMonitor(
            GatewayContext context,
            Supplier<Optional<TargetAttempt>> currentAttempt,
            BooleanSupplier requestEnded,
            Consumer<TargetAttempt> onSilent) {
        this.context = context;
        this.currentAttempt = currentAttempt;
        this.requestEnded = requestEnded;
        this.onSilent = onSilent;
    }

    /**
     * Starts to monitor a request.
     *
     * @param context the shared state of the gateway
     * @param currentAttempt returns the attempt in progress, if there is one
     * @param requestEnded returns whether the request has ended
     * @param onSilent called at each check with an attempt whose target is silent
     */
    static void start(
            GatewayContext context,
            Supplier<Optional<TargetAttempt>> currentAttempt,
            BooleanSupplier requestEnded,
            Consumer<TargetAttempt> onSilent) {
        new SilentTargetMonitor(context, currentAttempt, requestEnded, onSilent)
                .scheduleCheck(SILENCE_LIMIT_MILLIS);
    }

    /** Returns whether the target of an attempt is silent. */
    static boolean isSilent(TargetAttempt attempt, long nowMillis) {
        return attempt.silentMillis(nowMillis) >= SILENCE_LIMIT_MILLIS;
    }

    private void scheduleCheck(long millis) {
        long dueMillis = context.nowMillis() + millis;
        context.after(millis, () -> onTimer(dueMillis));
    }

    private void onTimer(long dueMillis) {
        if (context.nowMillis() - dueMillis > LATE_TIMER_MILLIS) {
            context.after(LATE_TIMER_MILLIS, this::check);
        } else {
            check();
        }
    }

    private void check() {
        if (requestEnded.getAsBoolean()) {
            return;
        }
        long nowMillis = context.nowMillis();
        currentAttempt.get().filter(current -> isSilent(current, nowMillis)).ifPresent(onSilent);
        if (!requestEnded.getAsBoolean()) {
            scheduleCheck(CHECK_INTERVAL_MILLIS);
        }
    }
}
