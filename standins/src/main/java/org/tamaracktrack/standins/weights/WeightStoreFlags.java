package org.tamaracktrack.standins.weights;

import com.beust.jcommander.Parameter;
import org.tamaracktrack.standins.StandIn;
import org.tamaracktrack.standins.StandInFlags;

/** The flags of the weight store's stand-in. */
public final class WeightStoreFlags extends StandInFlags {
    @Parameter(names = "--loads-per-second", description = "limit of the rate of loads")
    private double loadsPerSecond = 1.4;

    @Parameter(names = "--concurrent-loads", description = "loads at once at full speed")
    private int concurrentLoads = 11;

    @Parameter(names = "--mebibytes-per-second", description = "speed of one transfer")
    private double mebibytesPerSecond = 1000;

    @Override
    public StandIn create() {
        return WeightStoreStandIn.of(loadsPerSecond, concurrentLoads, mebibytesPerSecond);
    }
}
