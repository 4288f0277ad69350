package org.tamaracktrack.core.exchange;

import java.util.Objects;
import org.tamaracktrack.core.error.ErrorCode;
import org.tamaracktrack.core.id.AttemptId;
import org.tamaracktrack.core.id.TargetId;
import org.tamaracktrack.core.message.Message;

/** What happens to a request. */
public sealed interface ExchangeEvent {

    /** The request may be sent: it is read, checked and, if need be, claimed. */
    record Begun() implements ExchangeEvent {}

    /**
     * The request may not be sent: its key was refused.
     *
     * @param code why
     * @param retryAfterMillis when trying again makes sense, or -1
     */
    record Declined(ErrorCode code, long retryAfterMillis) implements ExchangeEvent {}

    /**
     * A target was chosen for an attempt.
     *
     * @param attempt the attempt
     * @param target where to
     */
    record Chosen(AttemptId attempt, TargetId target) implements ExchangeEvent {}

    /**
     * An attempt was certainly not sent.
     *
     * @param attempt the attempt
     * @param code why
     */
    record NotSent(AttemptId attempt, ErrorCode code) implements ExchangeEvent {}

    /**
     * There is no target for an attempt.
     *
     * @param attempt the attempt
     * @param code why
     * @param retryAfterMillis when trying again makes sense
     */
    record NoTarget(AttemptId attempt, ErrorCode code, long retryAfterMillis)
            implements ExchangeEvent {}

    /**
     * A target answered.
     *
     * @param message one of refused, started, chunk, finished and failed
     */
    record Received(Message message) implements ExchangeEvent {

        /** Checks the argument. */
        public Received {
            Objects.requireNonNull(message, "message is null");
        }
    }

    /**
     * The connection on which an attempt was sent closed.
     *
     * @param attempt the attempt
     */
    record ConnectionLost(AttemptId attempt) implements ExchangeEvent {}

    /**
     * Bytes of the answer were written to the caller.
     *
     * @param bytes how many
     */
    record CallerRead(int bytes) implements ExchangeEvent {}

    /** The caller's connection closed. */
    record CallerGone() implements ExchangeEvent {}

    /** The deadline over all attempts passed. */
    record DeadlinePassed() implements ExchangeEvent {}

    /** The time to wait for a cancelled attempt's verdict passed, or the daemon ends. */
    record GivenUp() implements ExchangeEvent {}
}
