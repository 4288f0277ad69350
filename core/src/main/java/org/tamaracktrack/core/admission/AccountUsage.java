package org.tamaracktrack.core.admission;

import org.tamaracktrack.core.id.ClientAccountId;
import org.tamaracktrack.core.id.ServiceId;

/** How much of a service each client account uses, compared with the other accounts there. */
public interface AccountUsage {
    /** Multiple of an equal part above which an account uses far more than its share. */
    double MAX_EXCESS = 2;

    /**
     * Returns the part of all outstanding tokens of a service that belongs to an account, divided
     * by an equal part among the accounts that have any.
     *
     * @param service the service
     * @param account the client account
     * @param nowMillis the monotonic time in milliseconds
     * @return the ratio; 1 is an equal part, 0 for an account without outstanding tokens
     */
    double excess(ServiceId service, ClientAccountId account, long nowMillis);

    /**
     * Returns a usage without any tokens.
     *
     * @return the empty usage
     */
    static AccountUsage none() {
        return (service, account, nowMillis) -> 0;
    }
}
