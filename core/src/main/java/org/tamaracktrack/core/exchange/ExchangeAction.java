package org.tamaracktrack.core.exchange;

import java.util.Map;
import java.util.Objects;
import java.util.Set;
import org.tamaracktrack.core.error.ErrorCode;
import org.tamaracktrack.core.error.Ran;
import org.tamaracktrack.core.id.AttemptId;
import org.tamaracktrack.core.id.TargetId;

/** What is to be done for a request. */
public sealed interface ExchangeAction {

    /**
     * Choose a target for the attempt.
     *
     * @param attempt the attempt
     * @param tried targets that have had an attempt
     * @param delayMillis how long to wait first
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
     * Queue the attempt on the connection to its target.
     *
     * @param attempt the attempt
     * @param target where to
     */
    record SendAttempt(AttemptId attempt, TargetId target) implements ExchangeAction {}

    /**
     * Tell the target to stop.
     *
     * @param attempt the attempt
     */
    record CancelAttempt(AttemptId attempt) implements ExchangeAction {}

    /**
     * Let the target send more.
     *
     * @param attempt the attempt
     * @param bytes how many bytes more
     */
    record GrantCredit(AttemptId attempt, int bytes) implements ExchangeAction {}

    /**
     * Nothing more is expected of an attempt.
     *
     * @param attempt the attempt
     */
    record AttemptOver(AttemptId attempt) implements ExchangeAction {}

    /**
     * Send the caller the whole answer, with its length.
     *
     * @param status the HTTP status
     * @param headers headers to pass on
     * @param body the body
     */
    record AnswerWhole(int status, Map<String, String> headers, byte[] body)
            implements ExchangeAction {}

    /**
     * Send the caller the head of an answer of unknown length.
     *
     * @param status the HTTP status
     * @param headers headers to pass on
     */
    record AnswerHead(int status, Map<String, String> headers) implements ExchangeAction {}

    /**
     * Send the caller a part of the answer.
     *
     * @param bytes the part
     */
    record AnswerPart(byte[] bytes) implements ExchangeAction {}

    /** End the caller's answer: it is whole. */
    record AnswerEnd() implements ExchangeAction {}

    /**
     * Send the caller an error.
     *
     * @param code what failed
     * @param ran whether the request ran
     * @param retryAfterMillis when trying again makes sense, or -1
     */
    record AnswerError(ErrorCode code, Ran ran, long retryAfterMillis) implements ExchangeAction {}

    /** Break the caller's connection off, so that an answer begun never looks whole. */
    record CutCaller() implements ExchangeAction {}

    /**
     * The last word on whether the request ran.
     *
     * @param ran whether it ran
     */
    record Settle(Ran ran) implements ExchangeAction {}

    /**
     * A message of an ended attempt was dropped.
     *
     * @param attempt the attempt
     */
    record DroppedLate(AttemptId attempt) implements ExchangeAction {}

    /**
     * A target's answer was not what it should be, or an invariant does not hold.
     *
     * @param code what failed
     * @param detail what was seen
     */
    record Breach(ErrorCode code, String detail) implements ExchangeAction {}
}
