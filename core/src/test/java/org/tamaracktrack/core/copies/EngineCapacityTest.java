package org.tamaracktrack.core.copies;

import static com.google.common.truth.Truth.assertThat;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

class EngineCapacityTest {
    private static final int FEW_SLOTS = 16;
    private static final int MANY_SLOTS = 64;
    private static final long TICK_MILLIS = 100;
    private static final long OBSERVATION_MILLIS = 20_000;

    private final EngineCapacity capacity = EngineCapacity.unknown();

    private void observe(int running, double perSecond) {
        for (long millis = 0; millis < OBSERVATION_MILLIS; millis += TICK_MILLIS) {
            capacity.update(running, perSecond, millis);
        }
    }

    // Guards against sending engines more requests than their slots can run.
    @Test
    void shouldEstimateLowerCapacityForEnginesWithFewerSlots() {
        assertThat(capacity.saturationRate(FEW_SLOTS))
                .isLessThan(capacity.saturationRate(MANY_SLOTS));
    }

    @Test
    void shouldEstimateLowerCapacityWhenRequestsStayLonger() {
        observe(300, 100);
        double rateOfLongRequests = capacity.saturationRate(FEW_SLOTS);

        observe(120, 100);
        assertThat(capacity.saturationRate(FEW_SLOTS)).isGreaterThan(rateOfLongRequests);
    }

    @Test
    void shouldKeepTheEstimateWhenThereAreHardlyAnyRequests() {
        double before = capacity.saturationRate(FEW_SLOTS);

        observe(40, 0.5);

        assertThat(capacity.saturationRate(FEW_SLOTS)).isEqualTo(before);
    }

    // By Little's law the request rate of an engine cannot exceed its slots divided by the
    // residence time.
    @Property(tries = 100, seed = "51")
    void shouldNeverExceedWhatSlotsAllow(
            @ForAll @IntRange(min = 1, max = 128) int slots,
            @ForAll @DoubleRange(min = 1, max = 4) double residenceSeconds) {
        EngineCapacity observed = EngineCapacity.unknown();
        double perSecond = 100;
        for (long millis = 0; millis < 10 * OBSERVATION_MILLIS; millis += TICK_MILLIS) {
            observed.update((int) Math.ceil(perSecond * residenceSeconds), perSecond, millis);
        }

        assertThat(observed.saturationRate(slots)).isAtMost(slots / residenceSeconds);
    }
}
