package org.tamaracktrack.core.delay;

import static com.google.common.truth.Truth.assertThat;

import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.tamaracktrack.core.knowledge.DualTimestamp;

class SocketDelayTest {
    private static final long INTERVAL_MILLIS = 100;

    private final SocketDelay delay = SocketDelay.of(INTERVAL_MILLIS, at(0));

    private static DualTimestamp at(long millis) {
        return new DualTimestamp(millis, millis);
    }

    private void tickOnTime(long fromMillis, int count) {
        LongStream.range(0, count)
                .forEach(index -> delay.recordTick(at(fromMillis + index * INTERVAL_MILLIS)));
    }

    @Test
    void shouldBeZeroWhenTicksAreOnTime() {
        tickOnTime(100, 20);

        assertThat(delay.maxMillis(at(2_050))).isEqualTo(0);
    }

    // Guards against a stop signal that is not noticed, because both clocks run on.
    @Test
    void shouldCoverPauseByBothClocks() {
        tickOnTime(100, 5);

        assertThat(delay.maxMillis(at(4_600))).isEqualTo(4_000);
    }

    // Guards against a suspension that is not noticed, because the monotonic clock stands still.
    @Test
    void shouldCoverSuspensionBeforeTickAndAfterIt() {
        DualTimestamp resumed = new DualTimestamp(50, 4_050);
        DualTimestamp nextTick = new DualTimestamp(100, 4_100);

        assertThat(delay.maxMillis(resumed)).isEqualTo(3_950);
        assertThat(delay.recordTick(nextTick)).isEqualTo(4_000);
        assertThat(delay.maxMillis(nextTick)).isEqualTo(4_000);
    }

    // Guards against a backlog that is read in long passes over the sockets and looks recent once
    // a fixed time has passed.
    @Test
    void shouldCoverPauseUntilBacklogIsRead() {
        delay.recordTick(at(4_100));
        delay.recordTick(at(5_700));

        assertThat(delay.maxMillis(at(5_700))).isEqualTo(4_000);
    }

    @Test
    void shouldForgetPauseWhenThreadHasCaughtUp() {
        delay.recordTick(at(4_100));
        tickOnTime(4_200, 10);

        assertThat(delay.maxMillis(at(5_150))).isEqualTo(0);
    }

    @Test
    void shouldReturnDelayOfEachTick() {
        assertThat(delay.recordTick(at(100))).isEqualTo(0);
        assertThat(delay.recordTick(at(350))).isEqualTo(150);
    }
}
