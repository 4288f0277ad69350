package org.tamaracktrack.daemon.settings;

import com.beust.jcommander.Parameter;
import java.util.ArrayList;
import java.util.List;

/** The daemon's flags as text, before they are checked. */
final class DaemonFlags {
    @Parameter(names = "--role", description = "entry or target")
    String role;

    @Parameter(names = "--host", description = "the host it runs on")
    String host;

    @Parameter(names = "--data-centre", description = "the host's data centre")
    String dataCentre;

    @Parameter(names = "--target", description = "the target beside it; for a target daemon")
    String target;

    @Parameter(names = "--http-address", description = "IP:PORT for HTTP")
    String httpAddress;

    @Parameter(names = "--peer-address", description = "IP:PORT for other daemons")
    String peerAddress;

    @Parameter(names = "--log-address", description = "IP:PORT of the log service")
    String logAddress;

    @Parameter(names = "--host-list-address", description = "IP:PORT of the host list")
    String hostListAddress;

    @Parameter(names = "--peers", description = "IP:PORT,... of daemons to ask for configuration")
    String peers;

    @Parameter(names = "--shared-secret", description = "proves our daemons to each other")
    String sharedSecret;

    @Parameter(names = "--drain-millis", description = "how long a planned stop may take")
    String drainMillis;

    @Parameter(names = "--balancer-lag-millis", description = "how long the balancer may lag")
    String balancerLagMillis;

    @Parameter(names = "--report-millis", description = "time between counter records")
    String reportMillis;

    @Parameter(names = "--maximum-body-bytes", description = "the largest request body")
    String maximumBodyBytes;

    @Parameter(names = "--maximum-connections", description = "callers' connections at once")
    String maximumConnections;

    @Parameter(names = "--routing", description = "estimated-wait, random or fewest-outstanding")
    String routing;

    @Parameter(names = "--placement", description = "hysteresis, static, lru or greedy")
    String placement;

    @Parameter(names = "--admission", description = "fair or fifo")
    String admission;

    @Parameter(names = "--check-settings", description = "check the settings and exit")
    boolean checkSettings;

    @Parameter(description = "no arguments besides the flags")
    List<String> rest = new ArrayList<>();
}
