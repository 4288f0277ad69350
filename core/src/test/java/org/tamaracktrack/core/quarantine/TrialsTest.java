package org.tamaracktrack.core.quarantine;

import static com.google.common.truth.Truth.assertThat;

import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.tamaracktrack.core.dispatch.PromptPart;
import org.tamaracktrack.core.id.ServiceId;

class TrialsTest {
    private static final Suspect PART = part("a");
    private static final Suspect DEADLY = part("deadly");

    private final Trials trials = Trials.none();

    private static Suspect part(String id) {
        return PartFingerprint.of(ServiceId.of("engines"), new PromptPart(id, 40));
    }

    private static Hold hold(long lastEndMillis, Set<Suspect> explainedBy, Hold.Trial trial) {
        return new Hold(2, 2, lastEndMillis, explainedBy, trial);
    }

    private static Quarantine quarantine(Hold hold) {
        return new Quarantine(Set.of(PART), Map.of(PART, hold));
    }

    private boolean tryAcquire(Quarantine quarantine, long nowMillis) {
        return trials.tryAcquire(quarantine, Set.of(PART), nowMillis);
    }

    @Nested
    class Due {
        private final Quarantine due = quarantine(hold(0, Set.of(), Hold.Trial.ANY));

        @Test
        void shouldGrantNothingWhenNoTrialIsDue() {
            assertThat(tryAcquire(quarantine(hold(0, Set.of(), Hold.Trial.NONE)), 0)).isFalse();
        }

        // Guards against several requests of one trial, each of which may end a target.
        @Test
        void shouldGrantOneRequestOnTheSameEvidence() {
            assertThat(tryAcquire(due, 0)).isTrue();
            assertThat(tryAcquire(due, 1)).isFalse();
        }

        @Test
        void shouldGrantAnotherRequestAfterTheTrialEndedTarget() {
            tryAcquire(due, 0);

            assertThat(tryAcquire(quarantine(hold(5, Set.of(), Hold.Trial.ANY)), 1)).isTrue();
        }

        // Guards against a part that stays held because the caller of the trial left.
        @Test
        void shouldGrantAnotherRequestWhenTrialShowedNothing() {
            tryAcquire(due, 0);

            assertThat(tryAcquire(due, 60_000)).isTrue();
        }
    }

    @Nested
    class Alone {
        private final Quarantine both =
                new Quarantine(
                        Set.of(PART, DEADLY),
                        Map.of(
                                PART, hold(0, Set.of(), Hold.Trial.ALONE),
                                DEADLY, hold(0, Set.of(), Hold.Trial.ALONE)));

        @Test
        void shouldGrantRequestWithoutOtherHeldParts() {
            assertThat(tryAcquire(both, 0)).isTrue();
        }

        // Guards against a trial that shows nothing about either part.
        @Test
        void shouldGrantNothingWhenRequestHasAnotherHeldPart() {
            assertThat(trials.tryAcquire(both, Set.of(PART, DEADLY), 0)).isFalse();
        }
    }

    @Nested
    class Explained {
        private final Quarantine both =
                new Quarantine(
                        Set.of(PART, DEADLY),
                        Map.of(
                                PART, hold(0, Set.of(DEADLY), Hold.Trial.NONE),
                                DEADLY, hold(0, Set.of(PART), Hold.Trial.NONE)));

        // Guards against a sound part that is held because it was in deadly prompts.
        @Test
        void shouldGrantRequestWithoutThePartThatExplainsItsEnds() {
            assertThat(tryAcquire(both, 0)).isTrue();
        }

        // Guards against a deadly request that passes because its parts explain each other.
        @Test
        void shouldGrantNothingWhenTheExplainingPartIsInTheRequest() {
            assertThat(trials.tryAcquire(both, Set.of(PART, DEADLY), 0)).isFalse();
        }

        @Test
        void shouldGrantAnotherRequestSoonWhenTrialShowedNothing() {
            tryAcquire(both, 0);

            assertThat(tryAcquire(both, 1_999)).isFalse();
            assertThat(tryAcquire(both, 2_000)).isTrue();
        }
    }
}
