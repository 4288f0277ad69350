package org.tamaracktrack.core.copies;

import static com.google.common.truth.Truth.assertThat;

import java.util.Map;
import org.junit.jupiter.api.Test;
import org.tamaracktrack.core.id.ModelId;

class RememberedDemandTest {
    private static final ModelId FIRST = ModelId.of("first");
    private static final ModelId SECOND = ModelId.of("second");

    private final RememberedDemand remembered = RememberedDemand.empty();

    private void ask(Map<ModelId, Double> rates, long fromMillis, long toMillis) {
        for (long nowMillis = fromMillis; nowMillis < toMillis; nowMillis += 100) {
            remembered.note(rates, nowMillis);
        }
    }

    // Demand moves from one model to another and back every few seconds. A model that has just
    // fallen silent may be asked for next; one that was never asked for is not expected.
    @Test
    void shouldExpectAModelThatHasJustFallenSilent() {
        ask(Map.of(FIRST, 20.0), 0, 5_000);
        ask(Map.of(SECOND, 20.0), 5_000, 10_000);

        Map<ModelId, Double> expected = remembered.expected(Map.of(SECOND, 20.0));

        assertThat(expected.get(SECOND)).isEqualTo(20.0);
        assertThat(expected.get(FIRST)).isGreaterThan(5.0);
        assertThat(expected.get(FIRST)).isLessThan(20.0);
    }

    @Test
    void shouldForgetDemandThatStaysAway() {
        ask(Map.of(FIRST, 20.0), 0, 5_000);
        ask(Map.of(SECOND, 20.0), 5_000, 400_000);

        assertThat(remembered.expected(Map.of(SECOND, 20.0)).getOrDefault(FIRST, 0.0))
                .isLessThan(0.1);
    }

    @Test
    void shouldKnowWhatAnotherGiverRemembered() {
        remembered.recall(FIRST, 12, 1_000);

        assertThat(remembered.peak(FIRST)).isEqualTo(12.0);
        assertThat(remembered.expected(Map.of()).get(FIRST)).isGreaterThan(1.0);
    }
}
