package org.tamaracktrack.core.config;

import java.util.List;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;

class ConfigurationScheduleTest {
    private static final int MOST_STEPS = 80;

    @Provide
    Arbitrary<List<ConfigurationSchedule.Step>> schedules() {
        return ConfigurationSchedule.schedules(MOST_STEPS);
    }

    // An operator is told "accepted", and a daemon goes on with another configuration: callers get
    // what nobody promised them. Operators race, appends are retried and written late, records are
    // doubled and expire, snapshots cross with publications, readers fall behind, restart, and hear
    // old and new versions from each other, in any order. At each offset every reader that says it
    // knows has the same version, no reader goes back, and one snapshot brings all together.
    @Property(seed = "20261202", tries = 3000)
    void shouldAgreeAtEachOffsetAndNeverGoBack(
            @ForAll("schedules") List<ConfigurationSchedule.Step> steps) {
        ConfigurationSchedule schedule = new ConfigurationSchedule();
        schedule.run(steps);
        schedule.converge();
    }
}
