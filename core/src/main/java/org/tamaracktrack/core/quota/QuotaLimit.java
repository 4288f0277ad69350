package org.tamaracktrack.core.quota;

import java.util.Objects;
import org.tamaracktrack.core.id.ClientAccountId;

/**
 * The quota of a client account by one version of the configuration.
 *
 * @param account the client account
 * @param version the version of the configuration
 * @param ratePerSecond the units that become available per second, above 0
 * @param burst the units that may be used at once after a pause
 */
public record QuotaLimit(
        ClientAccountId account, long version, double ratePerSecond, double burst) {

    /** Checks the arguments. */
    public QuotaLimit {
        Objects.requireNonNull(account, "account is null");
        if (!(ratePerSecond > 0) || !(burst >= 0)) {
            throw new IllegalArgumentException(
                    "ratePerSecond is not positive or burst is negative");
        }
    }
}
