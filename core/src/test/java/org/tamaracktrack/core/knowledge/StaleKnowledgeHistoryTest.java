package org.tamaracktrack.core.knowledge;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.EnumSet;
import java.util.Set;
import java.util.stream.LongStream;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Group;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Nested;
import org.tamaracktrack.core.knowledge.StaleKnowledgeScenario.Play;
import org.tamaracktrack.core.knowledge.StaleKnowledgeScenario.Trouble;

class StaleKnowledgeHistoryTest {
    private static final Set<Trouble> OUTAGES = EnumSet.of(Trouble.OUTAGE, Trouble.CUT);
    private static final Set<Trouble> FULL = EnumSet.of(Trouble.FULL_LINK);
    private static final Set<Trouble> OWN =
            EnumSet.of(
                    Trouble.CONTROL_LATE,
                    Trouble.TRAFFIC_LATE,
                    Trouble.PROCESS_LATE,
                    Trouble.SLOW_LINK,
                    Trouble.CLOCK_STEP,
                    Trouble.COMING_AND_GOING,
                    Trouble.HOLDER_LOST);

    private static final long SETTLING_MILLIS = 3_000;

    private static Play play(int daemons, long promisedMillis, Set<Trouble> troubles) {
        return new Play(daemons, promisedMillis, troubles, SETTLING_MILLIS, true, true, true);
    }

    private static void assertKept(StaleKnowledgeScenario played) {
        assertWithMessage(played.worst()).that(played.worstExcessMillis()).isAtMost(0);
    }

    private static Set<Trouble> with(Set<Trouble> some, Set<Trouble> others) {
        Set<Trouble> all = EnumSet.copyOf(some);
        all.addAll(others);
        return all;
    }

    private static long broken(Play play) {
        return LongStream.range(0, 12)
                .filter(seed -> StaleKnowledgeScenario.play(seed, play).worstExcessMillis() > 0)
                .count();
    }

    /** Values that several groups draw from. */
    private abstract static class Drawn {
        @Provide
        Arbitrary<Integer> daemons() {
            return Arbitraries.of(22, 33);
        }

        @Provide
        Arbitrary<Long> promises() {
            return Arbitraries.of(2_000L, 3_000L, 4_000L);
        }
    }

    @Nested
    @Group
    class OwnDelays extends Drawn {

        // Guards against requests to a target that left, from a daemon that is late by itself.
        @Property(seed = "361", tries = 100, shrinking = ShrinkingMode.OFF)
        void shouldSendNothingLateWhenThreadsLinksAndClocksFail(
                @ForAll("daemons") int daemons,
                @ForAll("promises") long promisedMillis,
                @ForAll @LongRange(max = 1_000_000) long seed) {
            assertKept(StaleKnowledgeScenario.play(seed, play(daemons, promisedMillis, OWN)));
        }

        // Guards against the same in a fleet of the largest size.
        @Property(seed = "362", tries = 8, shrinking = ShrinkingMode.OFF)
        void shouldSendNothingLateWhenThereAreManyDaemons(
                @ForAll("promises") long promisedMillis,
                @ForAll @LongRange(max = 1_000_000) long seed) {
            assertKept(StaleKnowledgeScenario.play(seed, play(320, promisedMillis, OWN)));
        }

        // Guards against a history that is too mild to tell whether the check at the send is there.
        @Property(seed = "363", tries = 1)
        void shouldBreakThePromiseWhenTheAgeIsNotCheckedAtTheSend() {
            Play play = play(22, 2_000, OWN);

            assertThat(broken(play)).isEqualTo(0);
            assertThat(broken(play.withoutCheckAtSend())).isAtLeast(10);
        }

        // Guards against a history that is too mild to tell whether own delays are told apart.
        @Property(seed = "364", tries = 1)
        void shouldBreakThePromiseWhenOwnDelaysAreTakenForAnOutage() {
            Set<Trouble> lateReads =
                    EnumSet.of(
                            Trouble.TRAFFIC_LATE,
                            Trouble.PROCESS_LATE,
                            Trouble.SLOW_LINK,
                            Trouble.HOLDER_LOST);
            Play play = play(160, 2_000, lateReads);

            assertThat(broken(play)).isEqualTo(0);
            assertThat(broken(play.withoutJudgement())).isAtLeast(3);
        }
    }

    @Nested
    @Group
    class FullLink extends Drawn {
        // Guards against an outage that is seen by a daemon whose own link is full.
        @Property(seed = "372", tries = 100, shrinking = ShrinkingMode.OFF)
        void shouldSendNothingLateWhenALinkIsFull(
                @ForAll("daemons") int daemons,
                @ForAll("promises") long promisedMillis,
                @ForAll @LongRange(max = 1_000_000) long seed) {
            assertKept(StaleKnowledgeScenario.play(seed, play(daemons, promisedMillis, FULL)));
        }

        // Guards against an outage that a daemon goes on to see after it, since its link is full.
        @Property(seed = "373", tries = 300, shrinking = ShrinkingMode.OFF)
        void shouldSendNothingLateWhenALinkIsFullAndTheStoreGoesAndComes(
                @ForAll("daemons") int daemons,
                @ForAll("promises") long promisedMillis,
                @ForAll @LongRange(max = 1_000_000) long seed) {
            assertKept(
                    StaleKnowledgeScenario.play(
                            seed, play(daemons, promisedMillis, with(OUTAGES, FULL))));
        }

        // Guards against an outage that is seen by a daemon that is late and whose link is full.
        @Property(seed = "376", tries = 100, shrinking = ShrinkingMode.OFF)
        void shouldSendNothingLateWhenALinkIsFullAndDaemonsAreLate(
                @ForAll("daemons") int daemons,
                @ForAll("promises") long promisedMillis,
                @ForAll @LongRange(max = 1_000_000) long seed) {
            assertKept(
                    StaleKnowledgeScenario.play(
                            seed, play(daemons, promisedMillis, with(OWN, FULL))));
        }

        // Guards against an outage that is seen after it by such a daemon.
        @Property(seed = "377", tries = 60, shrinking = ShrinkingMode.OFF)
        void shouldSendNothingLateWhenAllButFreezesFail(
                @ForAll("daemons") int daemons,
                @ForAll("promises") long promisedMillis,
                @ForAll @LongRange(max = 1_000_000) long seed) {
            Set<Trouble> troubles = with(with(OWN, FULL), OUTAGES);
            assertKept(StaleKnowledgeScenario.play(seed, play(daemons, promisedMillis, troubles)));
        }

        // Guards against an outage seen by a daemon whose lost data is sent again late.
        @Property(seed = "375", tries = 100, shrinking = ShrinkingMode.OFF)
        void shouldSendNothingLateWhenWhatALinkLostIsSentAgainLate(
                @ForAll("daemons") int daemons,
                @ForAll("promises") long promisedMillis,
                @ForAll @LongRange(max = 1_000_000) long seed) {
            Set<Trouble> troubles = EnumSet.of(Trouble.RESENT_LATE);
            assertKept(StaleKnowledgeScenario.play(seed, play(daemons, promisedMillis, troubles)));
        }

        // Guards against a history that is too mild to tell whether the link is checked.
        @Property(seed = "374", tries = 1)
        void shouldBreakThePromiseWhenAFullLinkIsTakenForAnOutage() {
            Play play = play(33, 2_000, FULL);

            assertThat(broken(play)).isEqualTo(0);
            assertThat(broken(play.withoutLinkCheck())).isAtLeast(10);
        }
    }

    @Nested
    @Group
    class Freezes extends Drawn {

        // Guards against requests to a target that left, from a daemon that was frozen long before.
        @Property(seed = "370", tries = 60, shrinking = ShrinkingMode.OFF)
        void shouldSendNothingLateWhenADaemonWasFrozen(
                @ForAll("daemons") int daemons,
                @ForAll("promises") long promisedMillis,
                @ForAll @LongRange(max = 1_000_000) long seed) {
            Set<Trouble> freezes =
                    EnumSet.of(Trouble.FREEZE, Trouble.HOLDER_LOST, Trouble.SLOW_LINK);
            assertKept(StaleKnowledgeScenario.play(seed, play(daemons, promisedMillis, freezes)));
        }

        // Guards against a batch of the holder that lies here and is dated by a clock that stood.
        @Property(seed = "371", tries = 300, shrinking = ShrinkingMode.OFF)
        void shouldSendNothingLateWhenADaemonWasFrozenAndIsLate(
                @ForAll("daemons") int daemons,
                @ForAll("promises") long promisedMillis,
                @ForAll @LongRange(max = 1_000_000) long seed) {
            Set<Trouble> troubles = EnumSet.copyOf(OWN);
            troubles.add(Trouble.FREEZE);
            assertKept(StaleKnowledgeScenario.play(seed, play(daemons, promisedMillis, troubles)));
        }
    }

    @Nested
    @Group
    class Outages extends Drawn {

        // Guards against requests to a target that left, from a daemon that the store returned to.
        @Property(seed = "365", tries = 60, shrinking = ShrinkingMode.OFF)
        void shouldSendNothingLateWhenTheStoreIsBack(
                @ForAll("daemons") int daemons,
                @ForAll("promises") long promisedMillis,
                @ForAll @LongRange(max = 1_000_000) long seed) {
            assertKept(StaleKnowledgeScenario.play(seed, play(daemons, promisedMillis, OUTAGES)));
        }

        // Guards against an outage that a daemon goes on to see after it, since it is late itself.
        @Property(seed = "366", tries = 60, shrinking = ShrinkingMode.OFF)
        void shouldSendNothingLateWhenTheStoreIsBackAndTheDaemonIsLate(
                @ForAll("daemons") int daemons,
                @ForAll("promises") long promisedMillis,
                @ForAll @LongRange(max = 1_000_000) long seed) {
            Set<Trouble> all = with(OWN, OUTAGES);
            assertKept(StaleKnowledgeScenario.play(seed, play(daemons, promisedMillis, all)));
        }
    }

    @Nested
    @Group
    class Availability extends Drawn {

        /** The time limit of a read, and how often the age is looked at. */
        private static final long FAILED_READ_MILLIS = 700 + 100;

        // Guards against requests that are held back though nothing is amiss.
        @Property(seed = "367", tries = 30, shrinking = ShrinkingMode.OFF)
        void shouldHoldNobodyBackWhenNothingIsLate(
                @ForAll("daemons") int daemons,
                @ForAll("promises") long promisedMillis,
                @ForAll @LongRange(max = 1_000_000) long seed) {
            Play calm = play(daemons, promisedMillis, EnumSet.noneOf(Trouble.class));

            assertThat(StaleKnowledgeScenario.play(seed, calm).heldBack()).isEqualTo(0);
        }

        // Guards against the same in a fleet of the largest size.
        @Property(seed = "368", tries = 2, shrinking = ShrinkingMode.OFF)
        void shouldHoldNobodyBackWhenThereAreManyDaemons(
                @ForAll("promises") long promisedMillis,
                @ForAll @LongRange(max = 1_000_000) long seed) {
            Play calm = play(320, promisedMillis, EnumSet.noneOf(Trouble.class));

            assertThat(StaleKnowledgeScenario.play(seed, calm).heldBack()).isEqualTo(0);
        }

        // Guards against a daemon that stops for as long as the store is away.
        @Property(seed = "369", tries = 60, shrinking = ShrinkingMode.OFF)
        void shouldSendOnAfterAFailedReadWhenTheStoreIsAway(
                @ForAll("daemons") int daemons,
                @ForAll("promises") long promisedMillis,
                @ForAll @LongRange(max = 1_000_000) long seed) {
            StaleKnowledgeScenario played =
                    StaleKnowledgeScenario.play(seed, play(daemons, promisedMillis, OUTAGES));

            assertThat(played.longestHoldMillis()).isAtMost(FAILED_READ_MILLIS);
        }
    }
}
