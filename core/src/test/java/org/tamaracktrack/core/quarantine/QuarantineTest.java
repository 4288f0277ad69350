package org.tamaracktrack.core.quarantine;

import static com.google.common.truth.Truth.assertThat;

import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.tamaracktrack.core.dispatch.PromptPart;
import org.tamaracktrack.core.id.ServiceId;

class QuarantineTest {
    private static final Suspect PART = part("a");
    private static final Suspect DEADLY = part("deadly");

    private static Suspect part(String id) {
        return PartFingerprint.of(ServiceId.of("engines"), new PromptPart(id, 40));
    }

    private static Hold hold(Set<Suspect> explainedBy, Hold.Trial trial, int trials) {
        return new Hold(2, 2, 0, explainedBy, trial, Collections.nCopies(trials, 0L));
    }

    private static Quarantine quarantine(Hold hold) {
        return new Quarantine(Set.of(PART), Map.of(PART, hold));
    }

    private static boolean mayTry(Quarantine quarantine, long nowMillis) {
        return quarantine.mayTry(Set.of(PART), nowMillis);
    }

    @Test
    void shouldNotTryWhenRequestHasNoHeldSuspect() {
        assertThat(Quarantine.empty().mayTry(Set.of(), 0)).isFalse();
    }

    @Nested
    class Due {

        @Test
        void shouldNotTryWhenNoTrialIsDue() {
            assertThat(mayTry(quarantine(hold(Set.of(), Hold.Trial.NONE, 0)), 0)).isFalse();
        }

        // Guards against several requests of one trial, each of which may end a target.
        @Test
        void shouldTryOneRequestOnTheSameEvidence() {
            assertThat(mayTry(quarantine(hold(Set.of(), Hold.Trial.ANY, 0)), 0)).isTrue();
            assertThat(mayTry(quarantine(hold(Set.of(), Hold.Trial.ANY, 1)), 1)).isFalse();
        }

        // Guards against a trial that ends a target and thereby permits the next one.
        @Test
        void shouldNotTrySoonerWhenTrialEndedTarget() {
            Hold ended = new Hold(3, 2, 5, Set.of(), Hold.Trial.ANY, List.of(0L));

            assertThat(mayTry(quarantine(ended), 59_999)).isFalse();
        }

        // Guards against a part that stays held because the caller of the trial left.
        @Test
        void shouldTryAnotherRequestWhenTrialShowedNothing() {
            assertThat(mayTry(quarantine(hold(Set.of(), Hold.Trial.ANY, 1)), 60_000)).isTrue();
        }

        // Guards against trials without bound.
        @Test
        void shouldNotTryAgainWithinTenMinutesWhenAllTrialsWereMade() {
            Quarantine tried = quarantine(hold(Set.of(), Hold.Trial.ANY, Hold.MAX_TRIALS));

            assertThat(mayTry(tried, Hold.TRIAL_PERIOD_MILLIS - 1)).isFalse();
            assertThat(mayTry(tried, Hold.TRIAL_PERIOD_MILLIS)).isTrue();
        }
    }

    @Nested
    class Alone {
        private final Quarantine both =
                new Quarantine(
                        Set.of(PART, DEADLY),
                        Map.of(
                                PART, hold(Set.of(), Hold.Trial.ALONE, 0),
                                DEADLY, hold(Set.of(), Hold.Trial.ALONE, 0)));

        @Test
        void shouldTryRequestWithoutOtherHeldParts() {
            assertThat(mayTry(both, 0)).isTrue();
        }

        // Guards against a trial that shows nothing about either part.
        @Test
        void shouldNotTryRequestWithAnotherHeldPart() {
            assertThat(both.mayTry(Set.of(PART, DEADLY), 0)).isFalse();
        }
    }

    @Nested
    class Explained {

        private Quarantine both(int trials) {
            return new Quarantine(
                    Set.of(PART, DEADLY),
                    Map.of(
                            PART, hold(Set.of(DEADLY), Hold.Trial.NONE, trials),
                            DEADLY, hold(Set.of(PART), Hold.Trial.NONE, trials)));
        }

        // Guards against a sound part that is held because it was in deadly prompts.
        @Test
        void shouldTryRequestWithoutThePartThatExplainsItsEnds() {
            assertThat(mayTry(both(0), 0)).isTrue();
        }

        // Guards against a deadly request that passes because its parts explain each other.
        @Test
        void shouldNotTryWhenTheExplainingPartIsInTheRequest() {
            assertThat(both(0).mayTry(Set.of(PART, DEADLY), 0)).isFalse();
        }

        @Test
        void shouldTryAnotherRequestSoonWhenTrialShowedNothing() {
            assertThat(mayTry(both(1), 1_999)).isFalse();
            assertThat(mayTry(both(1), 2_000)).isTrue();
        }

        // Guards against a deadly part that is tried without bound because another explains it.
        @Test
        void shouldNotTryAgainWithinTenMinutesWhenAllTrialsWereMade() {
            Quarantine tried = both(Hold.MAX_TRIALS);

            assertThat(mayTry(tried, Hold.TRIAL_PERIOD_MILLIS - 1)).isFalse();
        }
    }
}
