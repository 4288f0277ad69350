package org.tamaracktrack.core.exchange;

import java.util.Objects;
import org.tamaracktrack.core.id.AttemptId;

/**
 * What does not change during a request.
 *
 * @param firstAttempt the identifier of its first attempt
 * @param idempotent whether it may be run again
 * @param streamed whether the caller reads a stream
 * @param deadlineAtMillis when the time for all attempts has passed
 * @param creditBytes how many bytes of answer a target may send ahead of the caller
 * @param bufferBytes an answer longer than this is passed on in parts
 * @param seed decides the jitter of its retries
 */
public record ExchangeFacts(
        AttemptId firstAttempt,
        boolean idempotent,
        boolean streamed,
        long deadlineAtMillis,
        int creditBytes,
        int bufferBytes,
        long seed) {

    /** Checks the arguments. */
    public ExchangeFacts {
        Objects.requireNonNull(firstAttempt, "firstAttempt is null");
    }
}
