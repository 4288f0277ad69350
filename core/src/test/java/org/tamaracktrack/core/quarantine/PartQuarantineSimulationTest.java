package org.tamaracktrack.core.quarantine;

import static com.google.common.truth.Truth.assertWithMessage;

import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Group;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Nested;

class PartQuarantineSimulationTest {
    private static final int MAX_LATE_SENDS = 3;

    /** Sound requests must begin at least half as often as before; most of that is for capacity. */
    private static final double MAX_REFUSED_SHARE = 0.05;

    private static PartQuarantineSimulation.Setting draw(
            SplittableRandom random, double deadlyPerSecond, double otherCrashesPerSecond) {
        return draw(random, deadlyPerSecond, otherCrashesPerSecond, AnswerProgress.STARTED);
    }

    private static PartQuarantineSimulation.Setting draw(
            SplittableRandom random,
            double deadlyPerSecond,
            double otherCrashesPerSecond,
            AnswerProgress crashProgress) {
        int targets = (int) Math.round(3 * Math.pow(200, random.nextDouble()));
        return new PartQuarantineSimulation.Setting(
                (int) Math.round(4 * Math.pow(80, random.nextDouble())),
                targets,
                targets * (1 + random.nextDouble() * 3),
                1 + random.nextInt(400),
                deadlyPerSecond,
                1 + random.nextInt(2),
                random.nextInt(4) == 0,
                otherCrashesPerSecond,
                1 + random.nextInt(targets),
                20 + random.nextDouble() * 1_000,
                1_000,
                random.nextInt(3) == 0 ? 0.1 : 0,
                crashProgress);
    }

    private static void assertFewRefused(
            PartQuarantineSimulation.Setting setting, PartQuarantineSimulation.Outcome outcome) {
        assertWithMessage("%s %s", setting, outcome)
                .that(outcome.refused())
                .isAtMost((int) (outcome.sound() * MAX_REFUSED_SHARE));
    }

    @Group
    @Nested
    class DeadlyParts {

        // Guards against deadly requests that are sent on after the bound, and against sound ones
        // that are refused for the parts that they share with them.
        @Property(seed = "1", tries = 20)
        void shouldHoldDeadlyPartsAndServeSoundRequests(@ForAll long seed) {
            SplittableRandom random = new SplittableRandom(seed);
            PartQuarantineSimulation.Setting setting =
                    draw(random, 0.3 + random.nextDouble() * 4, 0);

            PartQuarantineSimulation.Outcome outcome = PartQuarantineSimulation.play(setting, seed);

            assertWithMessage("%s %s", setting, outcome)
                    .that(outcome.lateSends())
                    .isAtMost(MAX_LATE_SENDS);
            assertFewRefused(setting, outcome);
        }

        // Guards against crashes for other reasons that hide which part is deadly.
        @Property(seed = "2", tries = 20)
        void shouldHoldDeadlyPartsWhenTargetsAlsoCrashForOtherReasons(@ForAll long seed) {
            SplittableRandom random = new SplittableRandom(seed);
            PartQuarantineSimulation.Setting setting =
                    draw(random, 0.3 + random.nextDouble() * 4, random.nextDouble() * 0.3);

            PartQuarantineSimulation.Outcome outcome = PartQuarantineSimulation.play(setting, seed);

            assertWithMessage("%s %s", setting, outcome)
                    .that(outcome.lateSends())
                    .isAtMost(MAX_LATE_SENDS);
            assertFewRefused(setting, outcome);
        }
    }

    @Group
    @Nested
    class DeadlyPartsWithWeakEvidence {

        // Guards against trials that each permit the next, when targets crash before anything of
        // their answers was received.
        @Property(seed = "4", tries = 20)
        void shouldHoldDeadlyPartsWhenTargetsCrashBeforeTheirAnswer(@ForAll long seed) {
            assertHeld(seed, AnswerProgress.NONE);
        }

        // Guards against the same when targets crash after the first piece.
        @Property(seed = "5", tries = 20)
        void shouldHoldDeadlyPartsWhenTargetsCrashAfterFirstPiece(@ForAll long seed) {
            assertHeld(seed, AnswerProgress.WRITING);
        }

        private void assertHeld(long seed, AnswerProgress crashProgress) {
            SplittableRandom random = new SplittableRandom(seed);
            PartQuarantineSimulation.Setting setting =
                    draw(
                            random,
                            0.3 + random.nextDouble() * 4,
                            random.nextBoolean() ? random.nextDouble() * 0.3 : 0,
                            crashProgress);

            PartQuarantineSimulation.Outcome outcome = PartQuarantineSimulation.play(setting, seed);

            assertWithMessage("%s %s", setting, outcome)
                    .that(outcome.lateSends())
                    .isAtMost(MAX_LATE_SENDS);
            assertFewRefused(setting, outcome);
        }
    }

    @Group
    @Nested
    class NoDeadlyPart {

        // Guards against parts that are held though targets crashed for other reasons, alone and
        // many at once.
        @Property(seed = "3", tries = 20)
        void shouldServeSoundRequestsWhenTargetsCrashForOtherReasons(@ForAll long seed) {
            SplittableRandom random = new SplittableRandom(seed);
            PartQuarantineSimulation.Setting setting =
                    draw(random, 0, 0.02 + random.nextDouble() * 0.5);

            assertFewRefused(setting, PartQuarantineSimulation.play(setting, seed));
        }
    }
}
