package org.tamaracktrack.core.fleet;

import static com.google.common.truth.Truth.assertThat;

import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.tamaracktrack.core.id.TargetId;

class FleetTrackerTest {
    private static final TargetId ONE = TargetId.of("one");
    private static final long GRACE_MILLIS = 2_250;

    private final FleetTracker tracker = FleetTracker.empty();

    /** Registers a target, followed by an outage of the registry that ends at 10,000 ms. */
    private void registerOneBeforeAnOutage() {
        tracker.accept(TargetEntries.engine("one", TargetEntries.HOME));
        tracker.registryUnavailable();
        tracker.registryAvailable(10_000);
    }

    private boolean known() {
        return tracker.fleet().entry(ONE).isPresent();
    }

    @Nested
    class RegistryEntries {

        // Guards against requests to models that are gone: a target crashes and restarts under its
        // name, and the entry of its first incarnation is delivered after that of the second.
        @Test
        void shouldKeepTheLaterIncarnationWhenAnEntryOfAnEarlierOneArrivesLate() {
            tracker.accept(TargetEntries.entry("one", 200, 1, false, TargetEntries.HOME));

            tracker.accept(TargetEntries.entry("one", 100, 9, false, TargetEntries.HOME, "model"));

            assertThat(tracker.entry(ONE).orElseThrow().incarnation().startedAtMillis())
                    .isEqualTo(200);
        }

        // Guards against models and an address of the earlier run that outlive a restart, since the
        // numbers of entries begin again with each run.
        @Test
        void shouldReplaceEverythingWhenLaterIncarnationHasSmallerRevision() {
            tracker.accept(TargetEntries.entry("one", 100, 9, true, TargetEntries.HOME, "old"));
            TargetEntry restarted =
                    TargetEntries.entry("one", 200, 1, false, TargetEntries.HOME, "new");

            boolean changed = tracker.accept(restarted);

            assertThat(changed).isTrue();
            assertThat(tracker.entry(ONE)).hasValue(restarted);
            assertThat(tracker.fleet().entry(ONE)).hasValue(restarted);
        }

        // Guards against new requests to a leaving target when an older entry without the
        // departure is read again because records were lost.
        @Test
        void shouldStayLeavingWhenAnOlderEntryIsNotLeaving() {
            tracker.accept(TargetEntries.entry("one", 100, 5, true, TargetEntries.HOME));

            tracker.accept(TargetEntries.entry("one", 100, 5, false, TargetEntries.HOME));
            tracker.accept(TargetEntries.entry("one", 100, 4, false, TargetEntries.HOME));

            assertThat(tracker.entry(ONE).orElseThrow().leaving()).isTrue();
        }

        @Test
        void shouldAcceptTheNewIncarnationWhenADepartedTargetRestarts() {
            tracker.accept(TargetEntries.entry("one", 100, 5, true, TargetEntries.HOME));

            tracker.accept(TargetEntries.entry("one", 200, 1, false, TargetEntries.HOME));

            assertThat(tracker.entry(ONE).orElseThrow().leaving()).isFalse();
        }
    }

    @Nested
    class LeavingAnswers {
        private final TargetIncarnation answered = new TargetIncarnation(ONE, 100);

        private boolean isLeaving() {
            return tracker.fleet().entry(ONE).orElseThrow().leaving();
        }

        private boolean accept(long started, long revision) {
            return tracker.accept(
                    TargetEntries.entry("one", started, revision, false, TargetEntries.HOME));
        }

        // Guards against copies and orders for a target that has stated in an answer that it
        // leaves.
        @Test
        void shouldMarkTheTargetWhenAnAnswerStatesLeaving() {
            accept(100, 5);

            assertThat(tracker.recordLeaving(answered)).isTrue();

            assertThat(isLeaving()).isTrue();
            assertThat(tracker.fleet().ready(TargetEntries.ENGINES).count()).isEqualTo(0);
            assertThat(tracker.recordLeaving(answered)).isFalse();
        }

        // Guards against a target that is used again because a later record does not say that it
        // leaves; what else the record says is applied.
        @Test
        void shouldStayLeavingWhenALaterEntryIsNotLeaving() {
            accept(100, 5);
            tracker.recordLeaving(answered);

            accept(100, 4);
            accept(100, 6);

            assertThat(isLeaving()).isTrue();
            assertThat(tracker.entry(ONE).orElseThrow().revision()).isEqualTo(6);
        }

        // Guards against a statement that is lost because it came before the target's entry.
        @Test
        void shouldMarkTheTargetWhenItsEntryComesAfterTheAnswer() {
            assertThat(tracker.recordLeaving(answered)).isFalse();

            accept(100, 5);

            assertThat(isLeaving()).isTrue();
        }

        // Guards against a target that is used again after its entry expired in an outage and was
        // written again.
        @Test
        void shouldStayLeavingWhenTheEntryReappears() {
            accept(100, 5);
            tracker.recordLeaving(answered);
            tracker.registryUnavailable();
            tracker.remove(ONE, 10_000);
            tracker.registryAvailable(10_010);

            accept(100, 6);

            assertThat(isLeaving()).isTrue();
        }

        // Guards against a target that is used again because its old entry was restored or listed
        // after its removal.
        @Test
        void shouldNotUseTheTargetWhenItsOldEntryReturnsAfterTheRemoval() {
            accept(100, 5);
            tracker.recordLeaving(answered);
            tracker.applyListing(Set.of(), 10_000);
            assertThat(known()).isFalse();

            accept(100, 5);

            assertThat(tracker.fleet().ready(TargetEntries.ENGINES).count()).isEqualTo(0);
        }

        // Guards against a target that is never used again after it has left and started anew.
        @Test
        void shouldUseTheNextIncarnation() {
            accept(100, 5);
            tracker.recordLeaving(answered);

            accept(200, 1);

            assertThat(isLeaving()).isFalse();
            assertThat(tracker.recordLeaving(answered)).isFalse();
            assertThat(isLeaving()).isFalse();
        }
    }

    @Nested
    class Removal {

        @Test
        void shouldDropARemovedTargetImmediatelyWhenThereWasNoOutage() {
            tracker.accept(TargetEntries.engine("one", TargetEntries.HOME));

            FleetTracker.RemovalOutcome removal = tracker.remove(ONE, 10_000);

            assertThat(removal).isEqualTo(FleetTracker.RemovalOutcome.DROPPED);
            assertThat(known()).isFalse();
        }

        @Test
        void shouldReportTheEffectOfARemoval() {
            assertThat(tracker.remove(ONE, 10_000)).isEqualTo(FleetTracker.RemovalOutcome.UNKNOWN);

            registerOneBeforeAnOutage();
            assertThat(tracker.remove(ONE, 10_010)).isEqualTo(FleetTracker.RemovalOutcome.MISSING);
            assertThat(tracker.missingCount()).isEqualTo(1);
            assertThat(tracker.availableForMillis(10_010)).isEqualTo(10);

            assertThat(tracker.dropExpired(10_010 + GRACE_MILLIS)).containsExactly(ONE);
            assertThat(tracker.missingCount()).isEqualTo(0);
        }

        // Guards against refused requests after an outage in which entries expired. On its return
        // the registry delivers the removals first and the new entries of running targets a second
        // later.
        @Test
        void shouldKeepAnExpiredTargetWhenItRegistersAgainInTime() {
            registerOneBeforeAnOutage();

            tracker.remove(ONE, 10_010);
            tracker.dropExpired(10_000 + GRACE_MILLIS - 1);
            assertThat(known()).isTrue();
            tracker.accept(TargetEntries.entry("one", 0, 2, false, TargetEntries.HOME));
            tracker.dropExpired(20_000);

            assertThat(known()).isTrue();
        }

        // Guards against requests to a target that left while this host alone was partitioned. No
        // entry expired, but the target is treated as missing and would be used until the end of
        // the grace period. It closes its connections, as leaving targets do.
        @Test
        void shouldDropAMissingTargetThatClosesItsConnections() {
            registerOneBeforeAnOutage();
            tracker.remove(ONE, 10_010);

            assertThat(tracker.dropMissing(Set.of(ONE))).containsExactly(ONE);

            assertThat(known()).isFalse();
        }

        // A closed connection alone is no sign of departure: targets in the registry close
        // connections occasionally.
        @Test
        void shouldKeepAListedTargetThatClosesAConnection() {
            tracker.accept(TargetEntries.engine("one", TargetEntries.HOME));

            assertThat(tracker.dropMissing(Set.of(ONE))).isEmpty();

            assertThat(known()).isTrue();
        }

        // Guards against dropping a running target, and refusing its requests, when another outage
        // begins before its expired entry could be written again.
        @Test
        void shouldKeepAMissingTargetDuringAnotherOutage() {
            registerOneBeforeAnOutage();
            tracker.remove(ONE, 10_010);
            tracker.registryUnavailable();

            tracker.dropExpired(20_000);
            assertThat(known()).isTrue();

            tracker.registryAvailable(21_000);
            tracker.dropExpired(21_000 + GRACE_MILLIS);
            assertThat(known()).isFalse();
        }

        // Guards against requests to a target that died in an outage.
        @Test
        void shouldDropAnExpiredTargetWhenItDoesNotRegisterAgain() {
            registerOneBeforeAnOutage();

            tracker.remove(ONE, 10_010);
            tracker.dropExpired(10_010 + GRACE_MILLIS);

            assertThat(known()).isFalse();
        }

        // Guards against requests more than two seconds after a target has left. Its entry was
        // removed shortly before the end of the grace period, which was counted from the removal
        // instead of the return of the store. Daemons that had detected the return 1.8 s before
        // the removal continued to use the target; one that had detected it 2.7 s before dropped
        // the target immediately.
        @Test
        void shouldDropAMissingTargetAtTheEndOfTheGracePeriod() {
            registerOneBeforeAnOutage();

            tracker.remove(ONE, 10_000 + GRACE_MILLIS - 1);
            tracker.dropExpired(10_000 + GRACE_MILLIS);

            assertThat(known()).isFalse();
        }

        // Guards against requests to a target whose removal was among the records lost while this
        // process did not read. The listing lacks the target, and no entry expired, so it has
        // left.
        @Test
        void shouldDropATargetImmediatelyWhenAListingLacksItAndThereWasNoOutage() {
            tracker.accept(TargetEntries.engine("one", TargetEntries.HOME));

            assertThat(tracker.applyListing(Set.of(), 10_000))
                    .containsExactly(ONE, FleetTracker.RemovalOutcome.DROPPED);

            assertThat(known()).isFalse();
        }

        // After an outage a listing may lack a target whose entry expired and is about to be
        // written again.
        @Test
        void shouldKeepATargetForTheGracePeriodWhenAListingAfterAnOutageLacksIt() {
            registerOneBeforeAnOutage();

            assertThat(tracker.applyListing(Set.of(), 10_010))
                    .containsExactly(ONE, FleetTracker.RemovalOutcome.MISSING);
            tracker.dropExpired(10_000 + GRACE_MILLIS - 1);
            assertThat(known()).isTrue();
            tracker.dropExpired(10_000 + GRACE_MILLIS);

            assertThat(known()).isFalse();
        }
    }
}
