package org.tamaracktrack.standins.log;

import com.beust.jcommander.Parameter;
import org.tamaracktrack.standins.StandIn;
import org.tamaracktrack.standins.StandInFlags;

/** The flags of the log's stand-in. */
public final class LogFlags extends StandInFlags {
    @Parameter(names = "--appends-per-second", description = "limit of the rate of appends")
    private double appendsPerSecond = 300;

    @Parameter(names = "--retained-records", description = "records kept in each stream")
    private int retainedRecords = 100_000;

    @Override
    public StandIn create() {
        return LogStandIn.of(retainedRecords, appendsPerSecond);
    }
}
