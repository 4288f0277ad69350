package org.tamaracktrack.standins.service;

import com.beust.jcommander.Parameter;
import org.tamaracktrack.standins.StandIn;
import org.tamaracktrack.standins.StandInFlags;

/** The flags of the plain service's stand-in. */
public final class ServiceFlags extends StandInFlags {
    @Parameter(names = "--name", description = "the service's name in its answers")
    private String name = "service";

    @Parameter(names = "--delay-millis", description = "how long each call takes")
    private long delayMillis = 5;

    @Override
    public StandIn create() {
        return ServiceStandIn.of(name, delayMillis);
    }
}
