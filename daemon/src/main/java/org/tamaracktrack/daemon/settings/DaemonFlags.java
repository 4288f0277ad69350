package org.tamaracktrack.daemon.settings;

import com.beust.jcommander.Parameter;
import java.util.ArrayList;
import java.util.List;

/** The command line flags of the daemon as unvalidated text. JCommander fills the fields. */
final class DaemonFlags {
    @Parameter(names = "--role", description = "entry or target")
    String role;

    @Parameter(names = "--host", description = "the host on which the daemon runs")
    String host;

    @Parameter(names = "--data-centre", description = "the host's data centre")
    String dataCentre;

    @Parameter(names = "--target", description = "the target that a target daemon serves")
    String target;

    @Parameter(names = "--http-address", description = "IP:PORT on which to serve HTTP")
    String httpAddress;

    @Parameter(names = "--peer-address", description = "IP:PORT on which to listen for daemons")
    String peerAddress;

    @Parameter(names = "--log-address", description = "IP:PORT of the log service")
    String logAddress;

    @Parameter(names = "--host-list-address", description = "IP:PORT of the host list")
    String hostListAddress;

    @Parameter(names = "--peers", description = "IP:PORT,... to fetch configuration from")
    String peers;

    @Parameter(names = "--shared-secret", description = "secret that authenticates daemons")
    String sharedSecret;

    @Parameter(names = "--drain-millis", description = "time limit of a planned stop")
    String drainMillis;

    @Parameter(
            names = "--balancer-lag-millis",
            description = "how late the balancer may notice a stop")
    String balancerLagMillis;

    @Parameter(names = "--report-millis", description = "interval between counter records")
    String reportMillis;

    @Parameter(names = "--maximum-body-bytes", description = "maximum size of a request body")
    String maximumBodyBytes;

    @Parameter(
            names = "--maximum-connections",
            description = "maximum number of open caller connections")
    String maximumConnections;

    @Parameter(names = "--routing", description = "estimated-wait, random or fewest-outstanding")
    String routing;

    @Parameter(names = "--placement", description = "hysteresis, static, lru or greedy")
    String placement;

    @Parameter(names = "--admission", description = "fair or fifo")
    String admission;

    @Parameter(names = "--check-settings", description = "check the settings and exit")
    boolean checkSettings;

    @Parameter(description = "none; only flags are allowed")
    List<String> unexpectedArguments = new ArrayList<>();
}
