package org.tamaracktrack.daemon.settings;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.tamaracktrack.core.id.DataCentreId;
import org.tamaracktrack.core.id.HostId;
import org.tamaracktrack.core.id.TargetId;

/**
 * The validated settings of one daemon.
 *
 * @param role whether this is an entry or a target daemon
 * @param host the host on which the daemon runs
 * @param dataCentre the host's data centre
 * @param target the target that a target daemon serves; empty for an entry daemon
 * @param httpAddress the address on which the daemon serves HTTP: health and metrics in both roles,
 *     and callers in the entry role
 * @param peerAddress the address on which the daemon listens for other daemons
 * @param logAddress the log service of the platform
 * @param hostListAddress the host list service of the platform, if there is one
 * @param peers entry daemons from which to request the configuration while the log is unavailable
 * @param sharedSecret the secret with which daemons authenticate each other
 * @param drainMillis the time limit of a planned stop, in milliseconds
 * @param balancerLagMillis how long the balancer may continue to send requests after readiness
 *     fails, in milliseconds
 * @param reportMillis the interval between counter records, in milliseconds
 * @param maximumBodyBytes the maximum size of a request body, in bytes
 * @param maximumConnections the maximum number of open caller connections
 */
public record Settings(
        Role role,
        HostId host,
        DataCentreId dataCentre,
        Optional<TargetId> target,
        InetSocketAddress httpAddress,
        InetSocketAddress peerAddress,
        InetSocketAddress logAddress,
        Optional<InetSocketAddress> hostListAddress,
        List<InetSocketAddress> peers,
        String sharedSecret,
        long drainMillis,
        long balancerLagMillis,
        long reportMillis,
        int maximumBodyBytes,
        int maximumConnections) {

    /** The roles of a daemon. */
    public enum Role {
        ENTRY,
        TARGET
    }

    /** Checks the arguments. */
    public Settings {
        Objects.requireNonNull(role, "role is null");
        peers = List.copyOf(peers);
    }
}
