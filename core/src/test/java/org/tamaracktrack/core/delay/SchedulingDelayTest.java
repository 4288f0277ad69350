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
    class Beats {

        // Guards against a thread that is called late when it ran early or in time.
        @Test
        void shouldNotBeLateWhenTheBeatRunsWhenItIsDue() {
            assertThat(delay.beat(DUE)).isEqualTo(0);
            assertThat(delay.beat(DUE + 50)).isEqualTo(0);
        }

        // Guards against a delay that is counted from the beat before.
        @Test
        void shouldCountFromWhenItWasDueWhenABeatIsLate() {
            assertThat(delay.beat(DUE + 40)).isEqualTo(40);
            assertThat(delay.beat(DUE + 40 + 100 + 7)).isEqualTo(7);
        }

        // Guards against a longest delay that is shown for ever, or for less than it was.
        @Test
        void shouldTellTheLongestOnceWhenItIsTaken() {
            delay.beat(DUE + 300);
            delay.beat(DUE + 400);

            assertThat(delay.takeLongestMillis()).isEqualTo(300);
            assertThat(delay.takeLongestMillis()).isEqualTo(0);
        }
    }

    @Nested
    class Now {

        // Guards against a usual pause that makes an outage go unnoticed.
        @Test
        void shouldBePunctualWhenTheNextBeatIsLateByExactlyWhatIsAllowed() {
            assertThat(delay.punctualSince(START, DUE + 50 + 250)).isTrue();
        }

        // Guards against a thread that hangs still and is called punctual until it runs again.
        @Test
        void shouldNotBePunctualWhenTheNextBeatIsLateNow() {
            assertThat(delay.punctualSince(START, DUE + 50 + 251)).isFalse();
        }

        // Guards against a delay before the question that counts against what came after.
        @Test
        void shouldCountFromTheMomentWhenTheThreadWasLateAlready() {
            long asked = DUE + 2_000;

            assertThat(delay.punctualSince(asked, asked + 250)).isTrue();
            assertThat(delay.punctualSince(asked, asked + 251)).isFalse();
        }
    }

    @Nested
    class Before {
        private static final long END = DUE + 1_000;

        @BeforeEach
        void runLate() {
            delay.beat(END);
        }

        // Guards against a thread that was late once and never counts as punctual again.
        @Test
        void shouldBePunctualWhenTheBeatWasLateBeforeTheMoment() {
            assertThat(delay.punctualSince(END, END + 100)).isTrue();
            assertThat(delay.punctualSince(END + 1, END + 100)).isTrue();
        }

        // Guards against an answer that lay unread in a late thread and is called a lost one.
        @Test
        void shouldNotBePunctualWhenTheBeatWasLateAfterTheMoment() {
            assertThat(delay.punctualSince(START, END)).isFalse();
            assertThat(delay.punctualSince(DUE, END + 100)).isFalse();
        }

        // Guards against the wrong share of a delay that had begun at the moment.
        @Test
        void shouldCountTheRestWhenTheBeatWasLateAcrossTheMoment() {
            assertThat(delay.punctualSince(END - 250, END)).isTrue();
            assertThat(delay.punctualSince(END - 251, END)).isFalse();
        }

        // Guards against a late beat that the punctual one after it hides.
        @Test
        void shouldRememberALateBeatWhenPunctualOnesFollow() {
            delay.beat(END + 100);
            delay.beat(END + 200);

            assertThat(delay.punctualSince(START, END + 200)).isFalse();
            assertThat(delay.punctualSince(END, END + 200)).isTrue();
        }

        // Guards against an earlier, longer delay that a later, shorter one hides.
        @Test
        void shouldRememberTheEarlierOfTwoLateBeatsWhenTheMomentIsBeforeBoth() {
            long end = END + 100 + 50 + 251;
            delay.beat(end);

            assertThat(delay.punctualSince(END, end)).isFalse();
            assertThat(delay.punctualSince(end - 250, end)).isTrue();
            assertThat(delay.punctualSince(START, end)).isFalse();
        }
    }

    @Nested
    class ManyShortDelays {

        // Guards against a thread that is late by short steps, each below what is allowed at once.
        @Test
        void shouldNotBePunctualWhenDelaysThatAreShortEachAreLongInAll() {
            delay.beat(DUE + 250);
            assertThat(delay.punctualSince(START, DUE + 250)).isTrue();

            delay.beat(DUE + 250 + 100 + 250);

            assertThat(delay.punctualSince(START, DUE + 600)).isFalse();
            assertThat(delay.punctualSince(DUE + 250, DUE + 600)).isTrue();
        }

        // Guards against a sum that leaves out the beat that is late now, or is off by one.
        @Test
        void shouldAddTheBeatThatIsLateNowWhenAnotherWasLate() {
            long end = DUE + 50 + 150;
            delay.beat(end);
            long due = end + 100;

            assertThat(delay.punctualSince(START, due + 50 + 100)).isTrue();
            assertThat(delay.punctualSince(START, due + 50 + 101)).isFalse();
        }

        // Guards against timers that fire as late as they usually do and make an outage unnoticed.
        @Test
        void shouldBePunctualWhenEachOfManyBeatsIsLateByWhatIsUsual() {
            long now = START;
            for (int beat = 0; beat < 60; beat++) {
                now += 100 + 50;
                delay.beat(now);
            }

            assertThat(delay.punctualSince(START, now)).isTrue();
        }
    }
}
