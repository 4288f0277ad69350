package org.tamaracktrack.core.delay;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class SchedulingDelayTest {
    private static final long START = 10_000;
    private static final long DUE = START + 100;

    private final SchedulingDelay delay = SchedulingDelay.of(100, 250, START);

    @Nested
    class Ticks {

        // Guards against reporting a thread as late that ran early or on time.
        @Test
        void shouldNotBeLateWhenTheTickRunsWhenItIsDue() {
            assertThat(delay.recordTick(DUE)).isEqualTo(0);
            assertThat(delay.recordTick(DUE + 50)).isEqualTo(0);
        }

        // Guards against measuring the delay from the previous tick.
        @Test
        void shouldMeasureFromTheDueTimeWhenATickIsLate() {
            assertThat(delay.recordTick(DUE + 40)).isEqualTo(40);
            assertThat(delay.recordTick(DUE + 40 + 100 + 7)).isEqualTo(7);
        }

        // Guards against reporting the longest delay more than once or too short.
        @Test
        void shouldResetTheLongestDelayWhenItIsTaken() {
            delay.recordTick(DUE + 300);
            delay.recordTick(DUE + 400);

            assertThat(delay.takeLongestMillis()).isEqualTo(300);
            assertThat(delay.takeLongestMillis()).isEqualTo(0);
        }
    }

    @Nested
    class OverdueTick {

        // Guards against missing an outage because of a usual pause of the thread.
        @Test
        void shouldBeOnTimeWhenTheNextTickIsLateByExactlyTheAllowedDelay() {
            assertThat(delay.onTimeSince(START, DUE + 50 + 250)).isTrue();
        }

        // Guards against reporting a blocked thread as on time until it runs again.
        @Test
        void shouldNotBeOnTimeWhenTheNextTickIsOverdue() {
            assertThat(delay.onTimeSince(START, DUE + 50 + 251)).isFalse();
        }

        // Guards against counting a delay from before the start time.
        @Test
        void shouldCountFromTheStartTimeWhenTheThreadWasAlreadyLate() {
            long asked = DUE + 2_000;

            assertThat(delay.onTimeSince(asked, asked + 250)).isTrue();
            assertThat(delay.onTimeSince(asked, asked + 251)).isFalse();
        }
    }

    @Nested
    class PastDelay {
        private static final long END = DUE + 1_000;

        @BeforeEach
        void runLate() {
            delay.recordTick(END);
        }

        // Guards against a thread that was late once and is never on time again.
        @Test
        void shouldBeOnTimeWhenTheTickWasLateBeforeTheStartTime() {
            assertThat(delay.onTimeSince(END, END + 100)).isTrue();
            assertThat(delay.onTimeSince(END + 1, END + 100)).isTrue();
        }

        // Guards against treating an answer as lost that was waiting unread for a late thread.
        @Test
        void shouldNotBeOnTimeWhenTheTickWasLateAfterTheStartTime() {
            assertThat(delay.onTimeSince(START, END)).isFalse();
            assertThat(delay.onTimeSince(DUE, END + 100)).isFalse();
        }

        // Guards against counting the wrong part of a delay that spans the start time.
        @Test
        void shouldCountTheRemainderWhenTheDelaySpansTheStartTime() {
            assertThat(delay.onTimeSince(END - 250, END)).isTrue();
            assertThat(delay.onTimeSince(END - 251, END)).isFalse();
        }

        // Guards against a late tick that is hidden by a punctual one after it.
        @Test
        void shouldKeepALateTickWhenPunctualOnesFollow() {
            delay.recordTick(END + 100);
            delay.recordTick(END + 200);

            assertThat(delay.onTimeSince(START, END + 200)).isFalse();
            assertThat(delay.onTimeSince(END, END + 200)).isTrue();
        }

        // Guards against an earlier, longer delay that is hidden by a later, shorter one.
        @Test
        void shouldKeepTheEarlierOfTwoLateTicksWhenTheStartTimeIsBeforeBoth() {
            long end = END + 100 + 50 + 251;
            delay.recordTick(end);

            assertThat(delay.onTimeSince(END, end)).isFalse();
            assertThat(delay.onTimeSince(end - 250, end)).isTrue();
            assertThat(delay.onTimeSince(START, end)).isFalse();
        }
    }

    @Nested
    class ManyShortDelays {

        // Guards against missing a series of short delays, each below the allowed delay.
        @Test
        void shouldNotBeOnTimeWhenShortDelaysAddUpToALongOne() {
            delay.recordTick(DUE + 250);
            assertThat(delay.onTimeSince(START, DUE + 250)).isTrue();

            delay.recordTick(DUE + 250 + 100 + 250);

            assertThat(delay.onTimeSince(START, DUE + 600)).isFalse();
            assertThat(delay.onTimeSince(DUE + 250, DUE + 600)).isTrue();
        }

        // Guards against a sum that omits the overdue tick or is off by one.
        @Test
        void shouldAddTheOverdueTickWhenAnotherWasLate() {
            long end = DUE + 50 + 150;
            delay.recordTick(end);
            long due = end + 100;

            assertThat(delay.onTimeSince(START, due + 50 + 100)).isTrue();
            assertThat(delay.onTimeSince(START, due + 50 + 101)).isFalse();
        }

        // Guards against missing an outage because timers fire as late as they usually do.
        @Test
        void shouldBeOnTimeWhenEachOfManyTicksIsLateByTheToleratedDelay() {
            long now = START;
            for (int tick = 0; tick < 60; tick++) {
                now += 100 + 50;
                delay.recordTick(now);
            }

            assertThat(delay.onTimeSince(START, now)).isTrue();
        }
    }
}
