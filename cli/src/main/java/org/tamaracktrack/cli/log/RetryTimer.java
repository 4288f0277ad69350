package org.tamaracktrack.cli.log;

/** Limits the retries of one command, and waits between its attempts to reach the log. */
public interface RetryTimer {

    /**
     * Waits before the next attempt.
     *
     * @return true after the wait; false, without a wait, if the time limit has passed and there
     *     must be no further attempt
     */
    boolean awaitNextAttempt();
}
