package org.tamaracktrack.standins.service;

import com.beust.jcommander.Parameter;
import org.tamaracktrack.standins.StandIn;
import org.tamaracktrack.standins.StandInFlags;

/** Holds the flags of the plain service stand-in. */
public final class ServiceFlags extends StandInFlags {
    @Parameter(names = "--name", description = "name of the service in its responses")
    private String name = "service";

    @Parameter(names = "--delay-millis", description = "duration of each request")
    private long delayMillis = 5;

    @Override
    public StandIn create() {
        return ServiceStandIn.of(name, delayMillis);
    }
}
