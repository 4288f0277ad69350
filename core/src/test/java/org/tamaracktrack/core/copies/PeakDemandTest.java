package org.tamaracktrack.core.copies;

import static com.google.common.truth.Truth.assertThat;

import java.util.Map;
import org.junit.jupiter.api.Test;
import org.tamaracktrack.core.id.ModelId;

class PeakDemandTest {
    private static final ModelId FIRST = ModelId.of("first");
    private static final ModelId SECOND = ModelId.of("second");

    private final PeakDemand peaks = PeakDemand.empty();

    private void update(Map<ModelId, Double> rates, long fromMillis, long toMillis) {
        for (long nowMillis = fromMillis; nowMillis < toMillis; nowMillis += 100) {
            peaks.update(rates, nowMillis);
        }
    }

    // Demand moves from one model to another and back every few seconds, so a model whose requests
    // have just stopped may be requested next.
    @Test
    void shouldExpectDemandForAModelWhoseRequestsHaveJustStopped() {
        update(Map.of(FIRST, 20.0), 0, 5_000);
        update(Map.of(SECOND, 20.0), 5_000, 10_000);

        Map<ModelId, Double> expected = peaks.expected(Map.of(SECOND, 20.0));

        assertThat(expected.get(SECOND)).isEqualTo(20.0);
        assertThat(expected.get(FIRST)).isGreaterThan(5.0);
        assertThat(expected.get(FIRST)).isLessThan(20.0);
    }

    @Test
    void shouldForgetDemandThatDoesNotReturn() {
        update(Map.of(FIRST, 20.0), 0, 5_000);
        update(Map.of(SECOND, 20.0), 5_000, 400_000);

        assertThat(peaks.expected(Map.of(SECOND, 20.0)).getOrDefault(FIRST, 0.0)).isLessThan(0.1);
    }

    @Test
    void shouldExpectDemandThatAnotherDaemonMeasured() {
        peaks.restore(FIRST, 12, 1_000);

        assertThat(peaks.peak(FIRST)).isEqualTo(12.0);
        assertThat(peaks.expected(Map.of()).get(FIRST)).isGreaterThan(1.0);
    }
}
