package org.tamaracktrack.standins.hosts;

import com.beust.jcommander.Parameter;
import java.util.ArrayList;
import java.util.List;
import org.tamaracktrack.standins.StandIn;
import org.tamaracktrack.standins.StandInFlags;

/** The flags of the host list's stand-in. */
public final class HostListFlags extends StandInFlags {
    @Parameter(names = "--host", description = "a host as name=data-centre; may be repeated")
    private List<String> hosts = new ArrayList<>();

    @Parameter(names = "--lag-millis", description = "how old the list that callers see is")
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
