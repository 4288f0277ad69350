package org.tamaracktrack.core.config;

import java.util.List;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;

/**
 * The schedules of {@link ConfigurationScheduleTest}, longer and from a seed that is drawn for each
 * run and printed when one fails. Not part of CI: {@code mvn -pl core test
 * -Dtest=ConfigurationScheduleLongRun}.
 */
class ConfigurationScheduleLongRun {
    private static final int MOST_STEPS = 300;

    @Provide
    Arbitrary<List<ConfigurationSchedule.Step>> schedules() {
        return ConfigurationSchedule.schedules(MOST_STEPS);
    }

    @Property(tries = 20_000)
    void shouldAgreeAtEachOffsetAndNeverGoBack(
            @ForAll("schedules") List<ConfigurationSchedule.Step> steps) {
        ConfigurationSchedule schedule = new ConfigurationSchedule();
        schedule.run(steps);
        schedule.converge();
    }
}
