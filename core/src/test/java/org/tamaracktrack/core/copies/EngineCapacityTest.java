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
    private static final long LEARNING_MILLIS = 20_000;

    private final EngineCapacity capacity = EngineCapacity.unknown();

    private void learn(int running, double perSecond) {
        for (long millis = 0; millis < LEARNING_MILLIS; millis += TICK_MILLIS) {
            capacity.note(running, perSecond, millis);
        }
    }

    // Guards against engines that are asked for more than their slots can take.
    @Test
    void shouldTakeEnginesWithFewSlotsToServeLessThanOthers() {
        assertThat(capacity.busyRate(FEW_SLOTS)).isLessThan(capacity.busyRate(MANY_SLOTS));
    }

    @Test
    void shouldServeLessWhenRequestsStayLonger() {
        learn(300, 100);
        double stayingLong = capacity.busyRate(FEW_SLOTS);

        learn(120, 100);
        assertThat(capacity.busyRate(FEW_SLOTS)).isGreaterThan(stayingLong);
    }

    @Test
    void shouldLearnNothingWhenHardlyAnybodyAsks() {
        double before = capacity.busyRate(FEW_SLOTS);

        learn(40, 0.5);

        assertThat(capacity.busyRate(FEW_SLOTS)).isEqualTo(before);
    }

    // By Little's law an engine that ends a request after so many seconds can't begin more.
    @Property(tries = 100, seed = "51")
    void shouldNeverExceedWhatSlotsAllow(
            @ForAll @IntRange(min = 1, max = 128) int slots,
            @ForAll @DoubleRange(min = 1, max = 4) double staySeconds) {
        EngineCapacity learned = EngineCapacity.unknown();
        double perSecond = 100;
        for (long millis = 0; millis < 10 * LEARNING_MILLIS; millis += TICK_MILLIS) {
            learned.note((int) Math.ceil(perSecond * staySeconds), perSecond, millis);
        }

        assertThat(learned.busyRate(slots)).isAtMost(slots / staySeconds);
    }
}
