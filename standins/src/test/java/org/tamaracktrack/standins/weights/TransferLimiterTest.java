package org.tamaracktrack.standins.weights;

import static com.google.common.truth.Truth.assertThat;

import java.util.OptionalLong;
import org.junit.jupiter.api.Test;

class TransferLimiterTest {

    @Test
    void shouldTakeLongerWhenTooManyTransfersRun() {
        TransferLimiter limiter = TransferLimiter.of(100, 2, 1000, 0);
        assertThat(limiter.start(500, 0)).isEqualTo(OptionalLong.of(500));
        assertThat(limiter.start(500, 0)).isEqualTo(OptionalLong.of(500));
        assertThat(limiter.start(500, 1000)).isEqualTo(OptionalLong.of(750));
    }

    @Test
    void shouldRefuseTransfersAboveTheRateLimit() {
        TransferLimiter limiter = TransferLimiter.of(1, 2, 1000, 0);
        limiter.start(1, 0);
        limiter.start(1, 0);
        assertThat(limiter.start(1, 0)).isEqualTo(OptionalLong.empty());
        assertThat(limiter.start(1, 1000)).isNotEqualTo(OptionalLong.empty());
        assertThat(limiter.state()).isEqualTo(new TransferLimiter.State(3, 3, 3, 1));
    }

    @Test
    void shouldApplyTheSlowFactor() {
        TransferLimiter limiter = TransferLimiter.of(1, 2, 1000, 0);
        limiter.setSlowFactor(4);
        assertThat(limiter.start(500, 0)).isEqualTo(OptionalLong.of(2000));
    }
}
