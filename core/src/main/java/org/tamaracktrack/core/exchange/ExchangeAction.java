package org.tamaracktrack.core.exchange;

import java.util.Map;
import java.util.Objects;
import java.util.Set;
import org.tamaracktrack.core.error.ErrorCode;
import org.tamaracktrack.core.error.Ran;
import org.tamaracktrack.core.id.AttemptId;
import org.tamaracktrack.core.id.TargetId;

/** An action to take for a request. */
public sealed interface ExchangeAction {

    /**
     * Chooses a target for an attempt.
     *
     * @param attempt the attempt
     * @param tried the targets that have already had an attempt
     * @param delayMillis how long to wait first, in milliseconds
     */
    record Route(AttemptId attempt, Set<TargetId> tried, long delayMillis)
            implements ExchangeAction {

        /** Copies the set. */
        public Route {
            Objects.requireNonNull(attempt, "attempt is null");
            tried = Set.copyOf(tried);
        }
    }

    /**
     * Queues an attempt on the connection to its target.
     *
     * @param attempt the attempt
     * @param target the target
     */
    record SendAttempt(AttemptId attempt, TargetId target) implements ExchangeAction {}

    /**
     * Tells the target to cancel an attempt.
     *
     * @param attempt the attempt
     */
    record CancelAttempt(AttemptId attempt) implements ExchangeAction {}

    /**
     * Allows the target to send more bytes of the answer.
     *
     * @param attempt the attempt
     * @param bytes the number of additional bytes
     */
    record GrantCredit(AttemptId attempt, int bytes) implements ExchangeAction {}

    /**
     * Reports that no further message is expected for an attempt.
     *
     * @param attempt the attempt
     */
    record AttemptEnded(AttemptId attempt) implements ExchangeAction {}

    /**
     * Sends the caller the complete answer, with its length.
     *
     * @param status the HTTP status
     * @param headers the headers to forward
     * @param body the body
     */
    record AnswerWhole(int status, Map<String, String> headers, byte[] body)
            implements ExchangeAction {}

    /**
     * Sends the caller the head of an answer of unknown length.
     *
     * @param status the HTTP status
     * @param headers the headers to forward
     */
    record AnswerHead(int status, Map<String, String> headers) implements ExchangeAction {}

    /**
     * Sends the caller a part of the answer.
     *
     * @param bytes the part
     */
    record AnswerPart(byte[] bytes) implements ExchangeAction {}

    /** Ends the answer to the caller, which is complete. */
    record AnswerEnd() implements ExchangeAction {}

    /**
     * Sends the caller an error.
     *
     * @param code the error
     * @param ran whether the request ran
     * @param retryAfterMillis after how many milliseconds a retry makes sense, or -1
     */
    record AnswerError(ErrorCode code, Ran ran, long retryAfterMillis) implements ExchangeAction {}

    /**
     * Closes the caller's connection abruptly, so that an incomplete answer never appears complete.
     */
    record CutCaller() implements ExchangeAction {}

    /**
     * Reports the final outcome: whether the request ran.
     *
     * @param ran whether it ran
     */
    record Settle(Ran ran) implements ExchangeAction {}

    /**
     * Reports that a message of an ended attempt was dropped.
     *
     * @param attempt the attempt
     */
    record LateMessageDropped(AttemptId attempt) implements ExchangeAction {}

    /**
     * Reports that the answer of a target was invalid or that an invariant was violated.
     *
     * @param code the error
     * @param detail a description of the violation
     */
    record Breach(ErrorCode code, String detail) implements ExchangeAction {}
}
