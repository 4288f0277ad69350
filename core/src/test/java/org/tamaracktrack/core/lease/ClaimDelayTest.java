package org.tamaracktrack.core.lease;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

class ClaimDelayTest {
    private static final double ALMOST_ONE = 0.999;

    // A small host that became the holder would not have the processor time to relay the records
    // that it reads promptly.
    @Test
    void shouldDelayLongerThanEveryLargerHostWhenTheHostIsSmall() {
        assertThat(ClaimDelay.millis(0.27, 0)).isGreaterThan(ClaimDelay.millis(0.75, ALMOST_ONE));
    }

    @Test
    void shouldSpreadClaimsWhenHostsHaveTheSameSize() {
        assertThat(ClaimDelay.millis(0.27, ALMOST_ONE)).isGreaterThan(ClaimDelay.millis(0.27, 0));
        assertThat(ClaimDelay.millis(1, ALMOST_ONE)).isGreaterThan(ClaimDelay.millis(1, 0));
    }
}
