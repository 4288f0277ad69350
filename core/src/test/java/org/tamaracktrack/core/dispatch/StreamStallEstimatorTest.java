package org.tamaracktrack.core.dispatch;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

class StreamStallEstimatorTest {
    private static final long USUAL_GAP_MILLIS = 30;

    private final StreamStallEstimator estimator = StreamStallEstimator.create();

    private long recordSteadyGaps(long fromMillis, int events) {
        long nowMillis = fromMillis;
        for (int count = 0; count < events; count++) {
            nowMillis += USUAL_GAP_MILLIS;
            estimator.recordGap(USUAL_GAP_MILLIS, nowMillis);
        }
        return nowMillis;
    }

    @Test
    void shouldReportNoStallBeforeAnyEvent() {
        assertThat(estimator.stallMillis(1_000)).isEqualTo(0.0);
    }

    // Another daemon sends a long prompt, which the engine processes between the events of all
    // streams, so that the gaps between them grow tenfold. A further prompt would delay them even
    // more.
    @Test
    void shouldReportStallWhenGapsGrowAndForgetItWithinASecond() {
        long nowMillis = recordSteadyGaps(0, 50);
        assertThat(estimator.stallMillis(nowMillis)).isEqualTo(0.0);

        estimator.recordGap(300, nowMillis + 300);
        estimator.recordGap(300, nowMillis + 310);

        assertThat(estimator.stallMillis(nowMillis + 310)).isGreaterThan(70.0);
        assertThat(estimator.stallMillis(nowMillis + 1_000)).isEqualTo(0.0);
    }
}
