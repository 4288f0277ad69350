package org.tamaracktrack.core.admission;

import java.util.Map;
import java.util.Objects;
import org.tamaracktrack.core.error.ErrorCode;
import org.tamaracktrack.core.error.TamaracktrackException;
import org.tamaracktrack.core.id.ServiceId;

/**
 * The complete usage that one daemon reports to its peers.
 *
 * @param process the name of the process run that reports it
 * @param sequence increases with each report of the process run
 * @param services the usage by service; the daemon has no outstanding tokens at absent services
 */
public record UsageReport(String process, long sequence, Map<ServiceId, ServiceUsage> services) {
    /** Limit of client accounts that are reported by name. */
    public static final int MAX_ACCOUNTS = 64;

    /**
     * Checks the arguments.
     *
     * @throws TamaracktrackException with {@code BAD_FRAME} if there are too many client accounts
     */
    public UsageReport {
        Objects.requireNonNull(process, "process is null");
        services = Map.copyOf(services);
        int accounts = services.values().stream().mapToInt(usage -> usage.tokens().size()).sum();
        if (accounts > MAX_ACCOUNTS) {
            throw TamaracktrackException.of(
                    ErrorCode.BAD_FRAME,
                    "usage report names too many client accounts: " + accounts);
        }
    }
}
