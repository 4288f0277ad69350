package org.tamaracktrack.daemon.settings;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.tamaracktrack.core.id.DataCentreId;
import org.tamaracktrack.core.id.HostId;
import org.tamaracktrack.core.id.TargetId;

/**
 * The checked settings of one daemon.
 *
 * @param role entry or target
 * @param host the host it runs on
 * @param dataCentre the host's data centre
 * @param target the target beside it, for a target daemon
 * @param httpAddress where it serves HTTP: callers at an entry daemon, health and metrics at both
 * @param peerAddress where a target daemon listens for entry daemons
 * @param logAddress the platform's log
 * @param hostListAddress the platform's host list, if there is one
 * @param peers entry daemons to ask for the configuration while the log is out
 * @param sharedSecret proves our processes to each other
 * @param drainMillis how long a planned stop may take
 * @param balancerLagMillis how long the balancer may go on sending after readiness fails
 * @param reportMillis time between counter records
 * @param maximumBodyBytes the largest request body
 * @param maximumConnections how many callers' connections are open at once
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
