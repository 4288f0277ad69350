package org.tamaracktrack.core.exchange;

import java.util.Objects;
import org.tamaracktrack.core.id.AttemptId;

/**
 * The properties of a request that do not change.
 *
 * @param firstAttempt the identifier of its first attempt
 * @param idempotent whether the request may be run more than once
 * @param streamed whether the caller expects a streamed answer
 * @param deadlineAtMillis the deadline over all attempts, in monotonic milliseconds
 * @param creditBytes the number of answer bytes that a target may send ahead of the caller
 * @param bufferBytes the size in bytes above which an answer is forwarded in parts
 * @param seed the seed of the retry jitter
 */
public record ExchangeParameters(
        AttemptId firstAttempt,
        boolean idempotent,
        boolean streamed,
        long deadlineAtMillis,
        int creditBytes,
        int bufferBytes,
        long seed) {

    /** Checks the arguments. */
    public ExchangeParameters {
        Objects.requireNonNull(firstAttempt, "firstAttempt is null");
    }
}
