package org.tamaracktrack.standins.weights;

import com.beust.jcommander.Parameter;
import org.tamaracktrack.standins.StandIn;
import org.tamaracktrack.standins.StandInFlags;

/** Holds the flags of the weight store stand-in. */
public final class WeightStoreFlags extends StandInFlags {
    @Parameter(names = "--loads-per-second", description = "rate limit of loads")
    private double loadsPerSecond = 1.4;

    @Parameter(
            names = "--concurrent-loads",
            description = "concurrent loads that run at full speed")
    private int concurrentLoads = 11;

    @Parameter(names = "--mebibytes-per-second", description = "full speed of one load")
    private double mebibytesPerSecond = 1000;

    @Override
    public StandIn create() {
        return WeightStoreStandIn.of(loadsPerSecond, concurrentLoads, mebibytesPerSecond);
    }
}
