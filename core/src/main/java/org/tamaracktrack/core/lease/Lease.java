package org.tamaracktrack.core.lease;

import java.util.Objects;
import org.tamaracktrack.core.id.IncarnationId;

/**
 * A granted lease.
 *
 * @param holder the process that holds it
 * @param term the offset of the holder's first grant
 * @param expiresAtMillis when it ends, by the log's clock
 */
public record Lease(IncarnationId holder, long term, long expiresAtMillis) {

    /** Checks the arguments. */
    public Lease {
        Objects.requireNonNull(holder, "holder is null");
    }

    /**
     * Returns whether it is in force.
     *
     * @param logMillis a time by the log's clock
     * @return true when it is
     */
    public boolean inForceAt(long logMillis) {
        return logMillis < expiresAtMillis;
    }
}
