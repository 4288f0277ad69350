package org.tamaracktrack.core.config;

import java.util.List;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;

/**
 * Runs the property of {@link ConfigurationScheduleTest} with longer schedules and a random seed,
 * which is printed when a schedule fails. Not part of CI: {@code mvn -pl core test
 * -Dtest=ConfigurationScheduleLongRun}.
 */
class ConfigurationScheduleLongRun {
    private static final int MAXIMUM_STEPS = 300;

    @Provide
    Arbitrary<List<ConfigurationSchedule.Step>> schedules() {
        return ConfigurationSchedule.schedules(MAXIMUM_STEPS);
    }

    @Property(tries = 20_000)
    void shouldAgreeAtEachOffsetAndNeverLowerTheVersionWhenEventsInterleave(
            @ForAll("schedules") List<ConfigurationSchedule.Step> steps) {
        ConfigurationSchedule schedule = new ConfigurationSchedule();
        schedule.run(steps);
        schedule.checkConvergence();
    }
}
