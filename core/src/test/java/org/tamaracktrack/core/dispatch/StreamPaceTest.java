package org.tamaracktrack.core.dispatch;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

class StreamPaceTest {
    private static final long USUAL_MILLIS = 30;

    private final StreamPace pace = StreamPace.unknown();

    private long steady(long fromMillis, int events) {
        long nowMillis = fromMillis;
        for (int count = 0; count < events; count++) {
            nowMillis += USUAL_MILLIS;
            pace.note(USUAL_MILLIS, nowMillis);
        }
        return nowMillis;
    }

    @Test
    void shouldSeeNoStallBeforeAnyEvent() {
        assertThat(pace.stallMillis(1_000)).isEqualTo(0.0);
    }

    // Another daemon sends a long prompt. The engine reads it between the events of all streams,
    // whose pauses grow tenfold; a prompt sent there now would make them later still.
    @Test
    void shouldSeeAStallWhenEventsPauseAndForgetItSoon() {
        long nowMillis = steady(0, 50);
        assertThat(pace.stallMillis(nowMillis)).isEqualTo(0.0);

        pace.note(300, nowMillis + 300);
        pace.note(300, nowMillis + 310);

        assertThat(pace.stallMillis(nowMillis + 310)).isGreaterThan(70.0);
        assertThat(pace.stallMillis(nowMillis + 1_000)).isEqualTo(0.0);
    }
}
