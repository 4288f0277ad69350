package org.tamaracktrack.daemon.target;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

class PauseGuardTest {

    // The process is frozen for five seconds. A request that lay in its socket meanwhile is read
    // first, and the cancel behind it a moment later: the request waits that moment.
    @Test
    void shouldMakeNewWorkWaitWhenTicksCameLate() {
        PauseGuard guard = PauseGuard.of(0);
        guard.tick(50);

        assertThat(guard.waitMillis(5_000)).isGreaterThan(0);
        assertThat(guard.waitMillis(5_400)).isEqualTo(0);
    }

    @Test
    void shouldNotWaitWhenTicksCameInTime() {
        PauseGuard guard = PauseGuard.of(0);
        guard.tick(50);
        guard.tick(100);

        assertThat(guard.waitMillis(160)).isEqualTo(0);
    }
}
