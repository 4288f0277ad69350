package org.tamaracktrack.core.knowledge;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class KnowledgeTest {
    private static final long ASKED = 50_000;
    private static final long DIFFERENCE = 1_700_000_000_000L;
    private static final Knowledge KNOWN = Knowledge.none().whole(moment(ASKED));

    private static Moment moment(long steadyMillis) {
        return new Moment(steadyMillis, steadyMillis + DIFFERENCE);
    }

    private static long ageMillis(long steadyMillis, long dayMillis) {
        return KNOWN.ageMillis(new Moment(steadyMillis, dayMillis));
    }

    @Nested
    class Age {

        // Guards against an age that does not run from when the read was asked for.
        @Test
        void shouldCountFromTheAskingWhenBothClocksRunOn() {
            assertThat(ageMillis(ASKED, ASKED + DIFFERENCE)).isEqualTo(0);
            assertThat(ageMillis(ASKED + 700, ASKED + 700 + DIFFERENCE)).isEqualTo(700);
        }

        // Guards against a process that was frozen and takes what it knew before for young.
        @Test
        void shouldCountTheTimeOfDayWhenTheSteadyClockStoodStill() {
            assertThat(ageMillis(ASKED + 10, ASKED + 9_010 + DIFFERENCE)).isEqualTo(9_010);
        }

        // Guards against a clock that is set forward and makes old knowledge young.
        @Test
        void shouldGrowWhenTheTimeOfDayStepsForward() {
            assertThat(ageMillis(ASKED + 100, ASKED + 3_600_100 + DIFFERENCE)).isEqualTo(3_600_100);
        }

        // Guards against a clock that is set back and makes old knowledge young.
        @Test
        void shouldCountTheSteadyClockWhenTheTimeOfDayStepsBack() {
            assertThat(ageMillis(ASKED + 5_000, ASKED - 3_600_000 + DIFFERENCE)).isEqualTo(5_000);
        }

        // Guards against the age of nothing running over and becoming a small number.
        @Test
        void shouldBeHugeWhenNothingWasRead() {
            long hugeMillis = Long.MAX_VALUE / 8;

            assertThat(Knowledge.none().ageMillis(new Moment(0, 0))).isGreaterThan(hugeMillis);
            assertThat(Knowledge.none().ageMillis(new Moment(Long.MAX_VALUE / 4, DIFFERENCE)))
                    .isGreaterThan(hugeMillis);
            assertThat(Knowledge.none().ageMillis(new Moment(-Long.MAX_VALUE / 16, DIFFERENCE)))
                    .isGreaterThan(hugeMillis);
        }
    }

    @Nested
    class Reads {

        // Guards against an answer that overtakes a later one and makes knowledge older again.
        @Test
        void shouldStayWhenAnOlderReadIsAnsweredLater() {
            assertThat(KNOWN.whole(new Moment(ASKED - 1, 0))).isEqualTo(KNOWN);
            assertThat(KNOWN.whole(new Moment(ASKED, 0))).isEqualTo(KNOWN);
        }

        // Guards against a clock that was set once and makes all later knowledge old.
        @Test
        void shouldTakeTheClocksOfTheNewestReadWhenTheClockWasSet() {
            Knowledge newer = KNOWN.whole(new Moment(ASKED + 1, ASKED + 1 + DIFFERENCE + 60_000));
            Moment now = new Moment(ASKED + 5, ASKED + 5 + DIFFERENCE + 60_000);

            assertThat(newer.ageMillis(now)).isEqualTo(4);
        }

        // Guards against a read that is dated before an outage and ends it.
        @Test
        void shouldLeaveTheStoreAwayWhenItIsWholeUpToLater() {
            Knowledge read = KNOWN.away(moment(ASKED)).whole(moment(ASKED + 1));

            assertThat(read.awayAt()).isEqualTo(moment(ASKED));
        }
    }

    @Nested
    class Away {

        // Guards against an outage that makes knowledge younger or forgets it.
        @Test
        void shouldReachAsFarWhenTheStoreIsAway() {
            assertThat(KNOWN.away(moment(ASKED + 500)).wholeAt()).isEqualTo(moment(ASKED));
        }

        // Guards against a daemon that starts with an outage taken for granted.
        @Test
        void shouldNotBeAwayWhenNothingWasAsked() {
            long hugeMillis = Long.MAX_VALUE / 8;

            assertThat(Knowledge.none().awayAgeMillis(moment(0))).isGreaterThan(hugeMillis);
            assertThat(KNOWN.awayAgeMillis(moment(ASKED))).isGreaterThan(hugeMillis);
        }

        // Guards against an outage that counts from when a read failed, long after it was asked.
        @Test
        void shouldCountFromTheAskingWhenAReadFailed() {
            Knowledge away = KNOWN.away(moment(ASKED + 500));

            assertThat(away.awayAgeMillis(moment(ASKED + 500))).isEqualTo(0);
            assertThat(away.awayAgeMillis(moment(ASKED + 1_200))).isEqualTo(700);
        }

        // Guards against a process that was frozen and takes an outage before for one now.
        @Test
        void shouldCountTheTimeOfDayWhenTheSteadyClockStoodStillSince() {
            Knowledge away = KNOWN.away(moment(ASKED));

            assertThat(away.awayAgeMillis(new Moment(ASKED + 10, ASKED + 9_010 + DIFFERENCE)))
                    .isEqualTo(9_010);
        }

        // Guards against an outage that goes on and is known only by its first failure.
        @Test
        void shouldCountFromTheLatestAskingWhenSeveralReadsFailed() {
            Knowledge away = KNOWN.away(moment(ASKED + 500)).away(moment(ASKED + 900));

            assertThat(away.awayAgeMillis(moment(ASKED + 1_000))).isEqualTo(100);
        }

        // Guards against a failure that is heard of late and makes later evidence older.
        @Test
        void shouldStayWhenAnEarlierReadFailsLater() {
            Knowledge away = KNOWN.away(moment(ASKED + 500));

            assertThat(away.away(new Moment(ASKED + 499, 0))).isEqualTo(away);
            assertThat(away.away(new Moment(ASKED + 500, 0))).isEqualTo(away);
        }
    }
}
