package org.tamaracktrack.daemon.target;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

class PauseDetectorTest {

    // Guards against starting an abandoned request after the process was suspended for five
    // seconds: the request in the socket is read first and its cancellation shortly after it.
    @Test
    void shouldDelayNewRequestsWhenTicksAreLate() {
        PauseDetector detector = PauseDetector.of(0);
        detector.tick(50);

        assertThat(detector.waitMillis(5_000)).isGreaterThan(0);
        assertThat(detector.waitMillis(5_400)).isEqualTo(0);
    }

    @Test
    void shouldNotDelayWhenTicksAreOnTime() {
        PauseDetector detector = PauseDetector.of(0);
        detector.tick(50);
        detector.tick(100);

        assertThat(detector.waitMillis(160)).isEqualTo(0);
    }
}
