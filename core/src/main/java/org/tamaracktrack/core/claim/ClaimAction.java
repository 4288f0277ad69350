package org.tamaracktrack.core.claim;

import java.util.Objects;
import org.tamaracktrack.core.error.ErrorCode;
import org.tamaracktrack.core.log.LogEntry;

/** An action that the {@link ClaimManager} decided on. */
public sealed interface ClaimAction {

    /**
     * Appends a record once and reports the outcome of the append.
     *
     * @param kind the kind of the record
     * @param entry the record
     */
    record Append(AppendKind kind, LogEntry entry) implements ClaimAction {

        /** Checks the arguments. */
        public Append {
            Objects.requireNonNull(kind, "slot is null");
            Objects.requireNonNull(entry, "entry is null");
        }
    }

    /** The kinds of record. At most one append of each kind is in progress at a time. */
    enum AppendKind {
        CLAIMS,
        OUTCOMES
    }

    /**
     * Grants a request its key: the request may be sent.
     *
     * @param ticket the ticket of the request
     * @param claim the number of the claim under which its outcome is to be settled
     */
    record Granted(long ticket, long claim) implements ClaimAction {}

    /**
     * Declines a request: it may not be sent.
     *
     * @param ticket the ticket of the request
     * @param code the reason
     * @param retryAfterMillis after how many milliseconds a retry makes sense, or -1
     */
    record Declined(long ticket, ErrorCode code, long retryAfterMillis) implements ClaimAction {}
}
