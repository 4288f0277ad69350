package org.tamaracktrack.core.dispatch;

import org.tamaracktrack.core.route.Route;

/** Decides how a request continues after a failed attempt. */
public final class FailurePolicy {
    /** Failed connection attempts after which no further target is tried. */
    static final int MAX_CONNECTION_FAILURES = 3;

    /**
     * Refusals after which no further target is tried, since the others are probably full as well.
     */
    static final int MAX_REFUSALS = 3;

    /** A further attempt could not be answered in less time than this. */
    private static final long MIN_REMAINING_MILLIS = 30;

    private FailurePolicy() {}

    /** How the request continues. */
    public enum Next {
        /** Retry the request at another target. */
        AGAIN,
        /** Go on with the attempt that was already made at another target. */
        HEDGED,
        /** Pass the error of the target on to the caller. */
        PASS_ON,
        /** Tell the caller that the request did not run. */
        REFUSE,
        /** Tell the caller that the outcome is unknown. */
        UNKNOWN,
        /** Close the connection of the caller, so that a partial answer does not look complete. */
        BREAK
    }

    /** How a retry is charged to the retry budget of the service. */
    public enum Payment {
        /** The retry is taken from the allowance when it is sent. */
        PAID,
        /** The allowance is exhausted, so there is no retry. */
        DENIED,
        /** No attempt has reached a target, so another one does not count as a retry. */
        FREE,
        /** There is no retry for another reason. */
        NONE
    }

    /**
     * How a request continues, and how a retry is charged.
     *
     * @param next how the request continues
     * @param payment how a retry is charged
     */
    public record Decision(Next next, Payment payment) {}

    /**
     * Counts of the attempts of a request so far.
     *
     * @param connectionFailures attempts for which no connection could be opened
     * @param refusals attempts that a target refused without running the request
     * @param possibleExecutions attempts at which a target may have run the request
     * @param answerStarted whether a part of the answer was sent to the caller
     */
    public record History(
            int connectionFailures, int refusals, int possibleExecutions, boolean answerStarted) {
        private static final History NONE = new History(0, 0, 0, false);

        /**
         * Returns the history of a request without attempts.
         *
         * @return the empty history
         */
        public static History none() {
            return NONE;
        }

        /**
         * Returns this history with one more attempt.
         *
         * @param end how the attempt ended
         * @return the history
         */
        public History after(AttemptEnd end) {
            return switch (end) {
                case NOT_SENT ->
                        new History(
                                connectionFailures + 1,
                                refusals,
                                possibleExecutions,
                                answerStarted);
                case REFUSED ->
                        new History(
                                connectionFailures,
                                refusals + 1,
                                possibleExecutions,
                                answerStarted);
                // No target received or refused the request.
                case WITHHELD -> this;
                case FAILED, LOST, CUT ->
                        new History(
                                connectionFailures,
                                refusals,
                                possibleExecutions + 1,
                                answerStarted);
            };
        }

        /**
         * Returns whether an attempt may have reached a target.
         *
         * @return false when nothing was sent yet
         */
        public boolean reachedTarget() {
            return refusals + possibleExecutions > 0;
        }

        /**
         * Returns this history with another state of the answer to the caller.
         *
         * @param partSent whether a part of the answer was sent to the caller
         * @return the history
         */
        public History withAnswerStarted(boolean partSent) {
            return new History(connectionFailures, refusals, possibleExecutions, partSent);
        }
    }

    /**
     * Decides how a request continues after a failed attempt. Nothing is taken from the allowance
     * yet: a retry counts from when it is sent.
     *
     * @param route the route of the request
     * @param end how the last attempt ended
     * @param history the attempts so far, including the last one
     * @param remainingMillis time until the deadline of the caller, in milliseconds
     * @param allowance the retry allowance of the service at this daemon
     * @param nowMillis the monotonic time in milliseconds
     * @return how the request continues, and how a retry is charged
     */
    public static Decision decide(
            Route route,
            AttemptEnd end,
            History history,
            long remainingMillis,
            RetryAllowance allowance,
            long nowMillis) {
        Payment payment =
                mayRetry(route, end, history) && remainingMillis >= MIN_REMAINING_MILLIS
                        ? paymentOfRetry(history, allowance, nowMillis)
                        : Payment.NONE;
        return new Decision(decide(end, history, payment), payment);
    }

    /**
     * Returns the decision for a request that was already sent to another target.
     *
     * @return the request goes on there
     */
    public static Decision hedged() {
        return new Decision(Next.HEDGED, Payment.NONE);
    }

    /**
     * Decides how a request ends after a failed attempt that is not followed by another.
     *
     * @param end how the last attempt ended
     * @param history the attempts so far, including the last one
     * @return how the request ends
     */
    public static Decision giveUp(AttemptEnd end, History history) {
        return new Decision(decide(end, history, Payment.NONE), Payment.NONE);
    }

    private static Payment paymentOfRetry(
            History history, RetryAllowance allowance, long nowMillis) {
        if (!history.reachedTarget()) {
            return Payment.FREE;
        }
        return allowance.allowsRetry(nowMillis) ? Payment.PAID : Payment.DENIED;
    }

    private static Next decide(AttemptEnd end, History history, Payment payment) {
        if (payment == Payment.PAID || payment == Payment.FREE) {
            return Next.AGAIN;
        }
        if (history.answerStarted()) {
            return Next.BREAK;
        }
        if (end == AttemptEnd.FAILED) {
            return Next.PASS_ON;
        }
        return history.possibleExecutions() == 0 ? Next.REFUSE : Next.UNKNOWN;
    }

    // A request that is not idempotent is retried only when no target can have run it: no
    // connection was opened, or each target reported that it did not run it. After a connection
    // reset or a timeout it may have run, and a retry would execute it twice.
    private static boolean mayRetry(Route route, AttemptEnd end, History history) {
        if (history.possibleExecutions() > 0 && !route.repeatable()) {
            return false;
        }
        return switch (end) {
            case NOT_SENT -> history.connectionFailures() < MAX_CONNECTION_FAILURES;
            case WITHHELD -> true;
            case REFUSED ->
                    history.refusals() < MAX_REFUSALS
                            && history.possibleExecutions() < route.maximumAttempts();
            case FAILED, LOST, CUT -> history.possibleExecutions() < route.maximumAttempts();
        };
    }
}
