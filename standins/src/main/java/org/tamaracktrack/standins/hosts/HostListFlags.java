package org.tamaracktrack.standins.hosts;

import com.beust.jcommander.Parameter;
import java.util.ArrayList;
import java.util.List;
import org.tamaracktrack.standins.StandIn;
import org.tamaracktrack.standins.StandInFlags;

/** Holds the flags of the host list stand-in. */
public final class HostListFlags extends StandInFlags {
    @Parameter(names = "--host", description = "a host as name=data-centre; repeatable")
    private List<String> hosts = new ArrayList<>();

    @Parameter(names = "--lag-millis", description = "age of the list that clients receive")
    private long lagMillis = 2000;

    @Override
    public StandIn create() {
        HostListStandIn standIn = HostListStandIn.of(lagMillis);
        hosts.stream()
                .map(host -> host.split("=", 2))
                .forEach(host -> standIn.add(host[0], host[1]));
        return standIn;
    }
}
