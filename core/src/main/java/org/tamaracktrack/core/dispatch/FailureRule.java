package org.tamaracktrack.core.dispatch;

import org.tamaracktrack.core.route.Route;

/** What follows when an attempt ended badly. */
public final class FailureRule {
    /** Connections that may fail to open before a request is given up. */
    private static final int MOST_NOT_SENT = 3;

    /** Refusals after which a request is given up: the refusing targets are full alike. */
    private static final int MOST_REFUSALS = 3;

    /** With less time left than this another attempt could not be answered. */
    private static final long LEAST_LEFT_MILLIS = 30;

    private FailureRule() {}

    /** What to do next. */
    public enum Next {
        /** Send the request to another target. */
        AGAIN,
        /** Give the caller the target's own failure. */
        PASS_ON,
        /** Tell the caller that the request did not run. */
        REFUSE,
        /** Tell the caller that the outcome is unknown. */
        UNKNOWN,
        /** Close the caller's connection, so that a part does not look whole. */
        BREAK
    }

    /** How a repeat counts against the service's retry budget. */
    public enum Payment {
        /** It was taken from the allowance. */
        PAID,
        /** The allowance is used up, so there is no repeat. */
        DENIED,
        /** The attempt reached no target, so another one is no repeat. */
        FREE,
        /** There is no repeat for another reason. */
        NONE
    }

    /**
     * What to do next, and what paid for it.
     *
     * @param next what to do
     * @param payment how a repeat counts
     */
    public record Verdict(Next next, Payment payment) {}

    /**
     * What happened to a request so far.
     *
     * @param notSent connections that failed to open
     * @param refusals targets that said they did not run it
     * @param mayHaveRun targets at which it may have run
     * @param begun whether a part of the answer went to the caller
     */
    public record History(int notSent, int refusals, int mayHaveRun, boolean begun) {
        private static final History NONE = new History(0, 0, 0, false);

        /**
         * Returns the history of a request that was not sent yet.
         *
         * @return the history
         */
        public static History none() {
            return NONE;
        }

        /**
         * Returns the history with one more attempt.
         *
         * @param end how it ended
         * @return the history
         */
        public History after(AttemptEnd end) {
            return switch (end) {
                case NOT_SENT -> new History(notSent + 1, refusals, mayHaveRun, begun);
                case REFUSED -> new History(notSent, refusals + 1, mayHaveRun, begun);
                // Nobody had the request, and nobody refused it.
                case WITHHELD -> this;
                case FAILED, LOST, CUT -> new History(notSent, refusals, mayHaveRun + 1, begun);
            };
        }

        /**
         * Returns the same attempts with another answer to the caller.
         *
         * @param partSent whether a part of the answer went to the caller
         * @return the history
         */
        public History begun(boolean partSent) {
            return new History(notSent, refusals, mayHaveRun, partSent);
        }
    }

    /**
     * Decides.
     *
     * @param route the request's route
     * @param end how the last attempt ended
     * @param history what happened so far, the last attempt included
     * @param leftMillis what is left of the caller's time
     * @param allowance the service's share of repeats; taken from only for {@code AGAIN}
     * @param nowMillis the monotonic time
     * @return what to do, and what paid for it
     */
    public static Verdict next(
            Route route,
            AttemptEnd end,
            History history,
            long leftMillis,
            RetryAllowance allowance,
            long nowMillis) {
        Payment payment =
                mayRepeat(route, end, history) && leftMillis >= LEAST_LEFT_MILLIS
                        ? pay(end, allowance, nowMillis)
                        : Payment.NONE;
        return new Verdict(next(end, history, payment), payment);
    }

    private static Payment pay(AttemptEnd end, RetryAllowance allowance, long nowMillis) {
        if (end == AttemptEnd.NOT_SENT || end == AttemptEnd.WITHHELD) {
            return Payment.FREE;
        }
        return allowance.take(nowMillis) ? Payment.PAID : Payment.DENIED;
    }

    private static Next next(AttemptEnd end, History history, Payment payment) {
        if (payment == Payment.PAID || payment == Payment.FREE) {
            return Next.AGAIN;
        }
        if (history.begun()) {
            return Next.BREAK;
        }
        if (end == AttemptEnd.FAILED) {
            return Next.PASS_ON;
        }
        return history.mayHaveRun() == 0 ? Next.REFUSE : Next.UNKNOWN;
    }

    // A request that must not run twice goes out again only when no target can have run it: it
    // never left, or the target itself said so. A reset or a silence says nothing, and repeating
    // then would double an order.
    private static boolean mayRepeat(Route route, AttemptEnd end, History history) {
        if (history.mayHaveRun() > 0 && !route.repeatable()) {
            return false;
        }
        return switch (end) {
            case NOT_SENT -> history.notSent() < MOST_NOT_SENT;
            case WITHHELD -> true;
            case REFUSED ->
                    history.refusals() < MOST_REFUSALS
                            && history.mayHaveRun() < route.maximumAttempts();
            case FAILED, LOST, CUT -> history.mayHaveRun() < route.maximumAttempts();
        };
    }
}
