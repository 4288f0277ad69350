package org.tamaracktrack.core.config;

import java.util.List;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;

class ConfigurationScheduleTest {
    private static final int MAXIMUM_STEPS = 80;

    @Provide
    Arbitrary<List<ConfigurationSchedule.Step>> schedules() {
        return ConfigurationSchedule.schedules(MAXIMUM_STEPS);
    }

    // Guards against a daemon that serves callers by another configuration than the one that an
    // operator was told is accepted. Publications race, appends are retried, duplicated and
    // delayed,
    // records expire, snapshots interleave with publications, and readers lag, restart and receive
    // old and new offers from each other, in any order. At each offset, all readers that do not
    // await a snapshot have the same version; no reader's version decreases; and one snapshot by a
    // reader that missed nothing makes all readers converge.
    @Property(seed = "20261202", tries = 3000)
    void shouldAgreeAtEachOffsetAndNeverLowerTheVersionWhenEventsInterleave(
            @ForAll("schedules") List<ConfigurationSchedule.Step> steps) {
        ConfigurationSchedule schedule = new ConfigurationSchedule();
        schedule.run(steps);
        schedule.checkConvergence();
    }
}
