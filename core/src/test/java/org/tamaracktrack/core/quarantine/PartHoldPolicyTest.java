package org.tamaracktrack.core.quarantine;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class PartHoldPolicyTest {
    private static final long SECOND_MILLIS = 1_000;

    private final HoldPolicy policy = PartHoldPolicy.of();

    private static ObservedEnd running(long atMillis) {
        return new ObservedEnd(true, atMillis);
    }

    private static ObservedEnd waiting(long atMillis) {
        return new ObservedEnd(false, atMillis);
    }

    @Nested
    class Holds {

        @Test
        void shouldHoldAfterTwoTargetsEndedAsTheyBeganToAnswer() {
            assertThat(policy.holds(List.of(running(0)))).isFalse();
            assertThat(policy.holds(List.of(running(0), running(SECOND_MILLIS)))).isTrue();
        }

        // Guards against a part that is held because several targets lost power together.
        @Test
        void shouldNotHoldWhenTargetsEndedAtTheSameMoment() {
            assertThat(policy.holds(List.of(running(0), running(100), running(400)))).isFalse();
        }

        // Guards against a part that is held because it waited twice at targets that ended.
        @Test
        void shouldNotHoldWhenPartOnlyWaitedAtFewTargets() {
            assertThat(
                            policy.holds(
                                    List.of(
                                            running(0),
                                            waiting(SECOND_MILLIS),
                                            waiting(2 * SECOND_MILLIS),
                                            waiting(3 * SECOND_MILLIS))))
                    .isFalse();
        }

        // Guards against a part that is never held, because the heads of the answers are lost with
        // the connections.
        @Test
        void shouldHoldAfterFiveEndsOfAnyKind() {
            assertThat(
                            policy.holds(
                                    List.of(
                                            waiting(0),
                                            waiting(100),
                                            waiting(200),
                                            waiting(SECOND_MILLIS),
                                            waiting(2 * SECOND_MILLIS))))
                    .isTrue();
        }
    }

    @Nested
    class TrialDue {

        @Test
        void shouldAllowTrialHalfMinuteAfterLastOfTwoEnds() {
            assertThat(
                            policy.trialDueMillis(List.of(running(0), running(SECOND_MILLIS)))
                                    .getAsLong())
                    .isEqualTo(31 * SECOND_MILLIS);
        }

        @Test
        void shouldAllowLaterTrialAfterTrialEndedTarget() {
            assertThat(
                            policy.trialDueMillis(
                                            List.of(
                                                    running(0),
                                                    running(SECOND_MILLIS),
                                                    running(40 * SECOND_MILLIS)))
                                    .getAsLong())
                    .isEqualTo(340 * SECOND_MILLIS);
        }

        // Guards against trials that together end more targets than a held part may.
        @Test
        void shouldAllowNoTrialAfterFourMoments() {
            assertThat(
                            policy.trialDueMillis(
                                            List.of(
                                                    running(0),
                                                    running(SECOND_MILLIS),
                                                    running(40 * SECOND_MILLIS),
                                                    running(400 * SECOND_MILLIS)))
                                    .isEmpty())
                    .isTrue();
        }

        // Guards against parts that stay held although many targets only ended together.
        @Test
        void shouldCountEndsAtTheSameMomentOnceWhenTrialIsDue() {
            assertThat(
                            policy.trialDueMillis(
                                            List.of(
                                                    running(0),
                                                    running(100),
                                                    running(200),
                                                    running(300),
                                                    running(SECOND_MILLIS)))
                                    .getAsLong())
                    .isEqualTo(31 * SECOND_MILLIS);
        }
    }
}
