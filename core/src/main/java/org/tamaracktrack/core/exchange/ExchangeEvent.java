package org.tamaracktrack.core.exchange;

import java.util.Objects;
import org.tamaracktrack.core.error.ErrorCode;
import org.tamaracktrack.core.id.AttemptId;
import org.tamaracktrack.core.id.TargetId;
import org.tamaracktrack.core.message.Message;

/** An event that concerns a request. */
public sealed interface ExchangeEvent {

    /**
     * The request may be sent: it was read and checked, and its idempotency key was claimed if it
     * has one.
     */
    record Ready() implements ExchangeEvent {}

    /**
     * The request may not be sent because its idempotency key was refused.
     *
     * @param code the reason
     * @param retryAfterMillis after how many milliseconds a retry makes sense, or -1
     */
    record Declined(ErrorCode code, long retryAfterMillis) implements ExchangeEvent {}

    /**
     * A target was chosen for an attempt.
     *
     * @param attempt the attempt
     * @param target the chosen target
     */
    record TargetChosen(AttemptId attempt, TargetId target) implements ExchangeEvent {}

    /**
     * An attempt was certainly not sent.
     *
     * @param attempt the attempt
     * @param code the reason
     */
    record NotSent(AttemptId attempt, ErrorCode code) implements ExchangeEvent {}

    /**
     * No target is available for an attempt.
     *
     * @param attempt the attempt
     * @param code the reason
     * @param retryAfterMillis after how many milliseconds a retry makes sense
     */
    record NoTarget(AttemptId attempt, ErrorCode code, long retryAfterMillis)
            implements ExchangeEvent {}

    /**
     * A target sent a message.
     *
     * @param message a refused, started, chunk, finished or failed message
     */
    record Received(Message message) implements ExchangeEvent {

        /** Checks the argument. */
        public Received {
            Objects.requireNonNull(message, "message is null");
        }
    }

    /**
     * The connection on which an attempt was sent was closed.
     *
     * @param attempt the attempt
     */
    record ConnectionLost(AttemptId attempt) implements ExchangeEvent {}

    /**
     * Bytes of the answer were written to the caller.
     *
     * @param bytes the number of bytes
     */
    record CallerRead(int bytes) implements ExchangeEvent {}

    /** The connection to the caller was closed. */
    record CallerDisconnected() implements ExchangeEvent {}

    /** The deadline over all attempts passed. */
    record DeadlinePassed() implements ExchangeEvent {}

    /**
     * The time to wait for the outcome of a cancelled attempt passed, or the daemon is stopping.
     */
    record Abandoned() implements ExchangeEvent {}
}
