package org.tamaracktrack.daemon.gateway;

import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.BooleanSupplier;
import org.tamaracktrack.core.shutdown.GracePeriod;
import org.tamaracktrack.daemon.runtime.ControlThread;

/** Whether the daemon is about to stop, and what it still sends. Safe for use by any thread. */
final class PlannedStop implements BooleanSupplier {
    private final AtomicReference<GracePeriod> grace = new AtomicReference<>();

    /** Begins the stop. Has no effect when it has begun, since its end does not move. */
    void begin(long graceMillis) {
        grace.compareAndSet(null, new GracePeriod(ControlThread.nowMillis(), graceMillis));
    }

    /** Returns whether the stop has begun. */
    @Override
    public boolean getAsBoolean() {
        return grace().isPresent();
    }

    private Optional<GracePeriod> grace() {
        return Optional.ofNullable(grace.get());
    }

    /** Returns whether it is too late to accept a request, or to send it to a first target. */
    boolean refusesRequests() {
        return grace().filter(period -> !period.acceptsRequests(ControlThread.nowMillis()))
                .isPresent();
    }

    /** Returns whether it is too late to send a request to a further target. */
    boolean refusesRetries() {
        return grace().filter(period -> !period.allowsRetries(ControlThread.nowMillis()))
                .isPresent();
    }

    /** Returns whether requests that have no part of an answer yet are to be answered now. */
    boolean endsRequests() {
        return grace().filter(period -> period.endsRequests(ControlThread.nowMillis())).isPresent();
    }
}
