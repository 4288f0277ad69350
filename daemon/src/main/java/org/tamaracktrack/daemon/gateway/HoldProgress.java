package org.tamaracktrack.daemon.gateway;

import java.util.Optional;
import org.tamaracktrack.core.id.ClientAccountId;

/**
 * The hold of one request by admission control, with its log lines and metrics. Used on the traffic
 * thread.
 */
final class HoldProgress {
    private static final long NOT_HELD = -1;
    private static final long NOT_REFUSED = -1;

    private final GatewayContext context;
    private final Subject subject;
    private long sinceMillis = NOT_HELD;
    private double expectedMillis;
    private boolean late;

    /**
     * The request as the log names it.
     *
     * @param attempt the attempt id that the caller gave the request
     * @param route its route
     * @param account the client account of its key; empty without one
     * @param priority its priority
     */
    record Subject(String attempt, String route, Optional<ClientAccountId> account, int priority) {}

    private HoldProgress(GatewayContext context, Subject subject) {
        this.context = context;
        this.subject = subject;
    }

    static HoldProgress of(GatewayContext context, Subject subject) {
        return new HoldProgress(context, subject);
    }

    /** Records the wait that is expected at the best target. */
    void expect(double firstPieceMillis) {
        expectedMillis = firstPieceMillis;
    }

    /** Records whether the request can no longer be in time. */
    void late(boolean newLate) {
        late = newLate;
    }

    boolean isLate() {
        return late;
    }

    /** Records that the request is held from now on, or still is. */
    void hold() {
        if (!isHeld()) {
            sinceMillis = context.nowMillis();
        }
    }

    /** Records the end of the hold, if the request is held. */
    void end(String outcome) {
        if (isHeld()) {
            log(outcome, NOT_REFUSED);
        }
    }

    /** Records that the request is refused, whether or not it was held. */
    void refuse(String reason, long retryAfterMillis) {
        context.metrics().recordAdmissionRefusal(subject.route(), reason);
        log(reason, retryAfterMillis);
    }

    private boolean isHeld() {
        return sinceMillis != NOT_HELD;
    }

    private void log(String outcome, long retryAfterMillis) {
        long heldMillis = isHeld() ? context.nowMillis() - sinceMillis : 0;
        if (isHeld()) {
            context.metrics().recordHold(subject.route(), heldMillis);
        }
        sinceMillis = NOT_HELD;
        RequestLog.logAdmissionEnd(
                new RequestLog.AdmissionEnd(
                        subject.attempt(),
                        subject.route(),
                        subject.account(),
                        subject.priority(),
                        heldMillis,
                        (long) expectedMillis,
                        outcome,
                        late,
                        retryAfterMillis));
    }
}
