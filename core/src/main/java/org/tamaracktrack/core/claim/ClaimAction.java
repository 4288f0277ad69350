package org.tamaracktrack.core.claim;

import java.util.Objects;
import org.tamaracktrack.core.error.ErrorCode;
import org.tamaracktrack.core.log.LogEntry;

/** What is to be done about claims. */
public sealed interface ClaimAction {

    /**
     * Append a record, once, and say how it went.
     *
     * @param slot what kind of record it is
     * @param entry the record
     */
    record Append(Slot slot, LogEntry entry) implements ClaimAction {

        /** Checks the arguments. */
        public Append {
            Objects.requireNonNull(slot, "slot is null");
            Objects.requireNonNull(entry, "entry is null");
        }
    }

    /** Of each kind one append is under way at a time. */
    enum Slot {
        CLAIMS,
        OUTCOMES
    }

    /**
     * The request may be sent.
     *
     * @param ticket the request
     * @param claim the number under which its outcome is to be settled
     */
    record Granted(long ticket, long claim) implements ClaimAction {}

    /**
     * The request may not be sent.
     *
     * @param ticket the request
     * @param code why
     * @param retryAfterMillis when trying again makes sense, or -1
     */
    record Declined(long ticket, ErrorCode code, long retryAfterMillis) implements ClaimAction {}
}
