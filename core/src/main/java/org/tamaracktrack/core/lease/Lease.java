package org.tamaracktrack.core.lease;

import java.util.Objects;
import org.tamaracktrack.core.id.IncarnationId;

/**
 * A granted lease.
 *
 * @param holder the process that holds the lease
 * @param term the offset of the record that first granted the lease to this holder; serves as the
 *     fencing number
 * @param expiresAtMillis the time at which the lease ends, by the clock of the log
 */
public record Lease(IncarnationId holder, long term, long expiresAtMillis) {

    /** Checks the arguments. */
    public Lease {
        Objects.requireNonNull(holder, "holder is null");
    }

    /**
     * Returns whether the lease is in force at a time.
     *
     * @param logMillis a time by the clock of the log
     * @return true when the lease has not expired at that time
     */
    public boolean isInForceAt(long logMillis) {
        return logMillis < expiresAtMillis;
    }
}
