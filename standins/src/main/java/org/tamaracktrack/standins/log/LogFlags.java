package org.tamaracktrack.standins.log;

import com.beust.jcommander.Parameter;
import org.tamaracktrack.standins.StandIn;
import org.tamaracktrack.standins.StandInFlags;

/** Holds the flags of the log stand-in. */
public final class LogFlags extends StandInFlags {
    @Parameter(names = "--appends-per-second", description = "rate limit of appends")
    private double appendsPerSecond = 300;

    @Parameter(names = "--retained-records", description = "records retained in each stream")
    private int retainedRecords = 100_000;

    @Override
    public StandIn create() {
        return LogStandIn.of(retainedRecords, appendsPerSecond);
    }
}
