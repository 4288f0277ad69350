package org.tamaracktrack.core.lease;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.List;
import java.util.Optional;
import net.jqwik.api.ForAll;
import net.jqwik.api.Group;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.tamaracktrack.core.lease.ConditionalLease.LeaseRecord;
import org.tamaracktrack.core.lease.ConditionalLease.Terms;
import org.tamaracktrack.core.lease.ConditionalLeaseScenario.HolderAction;

class ConditionalLeaseTest {
    private static final Terms TERMS = new Terms(1_300, 450, 3_200, 100);
    private static final String OWN_ADDRESS = "10.0.0.1:7000";

    @Group
    @Nested
    class Histories {

        // Four daemons give orders to the same engines. They freeze for seconds, appends take
        // effect without a response or seconds late, and the log is unavailable at times. Two
        // daemons that give orders within three seconds of each other may load more than an engine
        // can hold.
        @Property(seed = "91", tries = 150)
        void shouldKeepThePauseBetweenHoldersWhenAnyFailureOccurs(
                @ForAll @LongRange(max = 1_000_000) long seed) {
            assertPausesBetweenHolders(ConditionalLeaseScenario.of(seed, TERMS).run(90_000));
        }

        // As above, with the lease terms that are used in production.
        @Property(seed = "93", tries = 150)
        void shouldKeepThePauseBetweenHoldersWithTheProductionTerms(
                @ForAll @LongRange(max = 1_000_000) long seed) {
            assertPausesBetweenHolders(
                    ConditionalLeaseScenario.of(seed, Terms.of(3_000, 0)).run(90_000));
        }

        // Guards against a lease that is kept by a process which was stopped by a signal: its
        // clocks
        // run on, so that no jump of a clock shows the pause.
        @Property(seed = "98", tries = 300)
        void shouldKeepThePauseBetweenHoldersWhenProcessesAreStopped(
                @ForAll @LongRange(max = 1_000_000) long seed) {
            assertPausesBetweenHolders(
                    ConditionalLeaseScenario.withStoppedProcesses(seed, Terms.of(3_000, 0))
                            .run(90_000));
        }

        // Guards against two holders with the same term, or without a pause between them, after the
        // log was restored from a copy: the offsets that serve as terms are assigned again, and
        // some processes learn of the restore seconds after others.
        @Property(seed = "94", tries = 300)
        void shouldKeepThePauseBetweenHoldersWhenTheLogIsRestored(
                @ForAll @LongRange(max = 1_000_000) long seed) {
            assertPausesBetweenHolders(
                    ConditionalLeaseScenario.withRestoredLog(seed, Terms.of(3_000, 0)).run(90_000));
        }

        @Property(seed = "95", tries = 60)
        void shouldElectAHolderAfterTheLogWasRestored(
                @ForAll @LongRange(max = 1_000_000) long seed) {
            ConditionalLeaseScenario scenario =
                    ConditionalLeaseScenario.withRestoredLog(seed, TERMS);
            scenario.run(30_000);
            scenario.endFailures();

            assertThat(scenario.run(15_000)).isNotEmpty();
        }

        private static void assertPausesBetweenHolders(List<HolderAction> actions) {
            HolderAction previous = null;
            for (HolderAction action : actions) {
                if (previous != null && !previous.process().equals(action.process())) {
                    assertWithMessage("%s then %s", previous, action)
                            .that(action.atMillis() - previous.atMillis())
                            .isAtLeast(3_000);
                    assertThat(action.term()).isGreaterThan(previous.term());
                }
                previous = action;
            }
        }

        // After any such history the failures end. Without a holder no model would be moved any
        // more.
        @Property(seed = "92", tries = 60)
        void shouldElectAHolderWhenFailuresEnd(@ForAll @LongRange(max = 1_000_000) long seed) {
            ConditionalLeaseScenario scenario = ConditionalLeaseScenario.of(seed, TERMS);
            scenario.run(30_000);
            scenario.endFailures();

            List<HolderAction> actions = scenario.run(15_000);

            assertThat(actions).isNotEmpty();
        }
    }

    @Nested
    class Claims {
        private final ConditionalLease lease =
                ConditionalLease.of("self", Optional.of(OWN_ADDRESS), Optional::empty, TERMS);

        @Test
        void shouldActImmediatelyWhenThereWasNoHolder() {
            lease.caughtUp(1_000);
            ConditionalLease.Append claim = lease.tick(1_000).orElseThrow();

            lease.appended(claim.expectedEnd(), 1_004);

            assertThat(lease.term(1_005)).hasValue(0);
        }

        @Test
        void shouldWaitForThePauseWhenThePreviousHolderReleased() {
            lease.read(0, new LeaseRecord("other", 0, true, false, 1, Optional.empty()), 1_000);
            lease.read(1, new LeaseRecord("other", 0, false, true, 2, Optional.empty()), 2_000);
            lease.caughtUp(2_000);
            ConditionalLease.Append claim = lease.tick(2_200).orElseThrow();
            lease.appended(claim.expectedEnd(), 2_204);

            assertThat(lease.term(2_300)).isEmpty();
            assertThat(lease.holds(2_300)).isTrue();
        }

        private void readPredecessorRecord(long offset, boolean claim, long nowMillis) {
            Optional<ConditionalLease.Contact> here =
                    Optional.of(new ConditionalLease.Contact(OWN_ADDRESS, "secret"));
            lease.read(offset, new LeaseRecord("before", 0, claim, false, offset, here), nowMillis);
        }

        // All hosts lose power, including that of the holder. The successor on the same host
        // starts, reads the whole log and finds the last renewal of its predecessor. Requests would
        // wait for models that no process may load while it waited for a holder that has ended.
        @Test
        void shouldActImmediatelyWhenTheHolderWasItsPredecessorOnTheSameHost() {
            readPredecessorRecord(0, true, 1_000);
            lease.caughtUp(1_000);
            ConditionalLease.Append claim = lease.tick(1_000).orElseThrow();

            lease.appended(claim.expectedEnd(), 1_004);

            assertThat(lease.term(1_005)).hasValue(1);
        }

        // The predecessor had just taken the lease from another host and was still waiting for the
        // pause when it ended. The successor must wait for the rest of that pause.
        @Test
        void shouldWaitForTheRestOfThePauseOfItsPredecessor() {
            lease.read(0, new LeaseRecord("other", 0, true, false, 1, Optional.empty()), 1_000);
            readPredecessorRecord(1, true, 1_000);
            readPredecessorRecord(2, false, 1_000);
            lease.caughtUp(1_000);
            ConditionalLease.Append claim = lease.tick(1_000).orElseThrow();
            lease.appended(claim.expectedEnd(), 1_004);
            long pauseEnds =
                    1_000
                            + TERMS.validityMillis()
                            + TERMS.handoverPauseMillis()
                            - TERMS.renewalIntervalMillis();

            assertThat(lease.holds(1_005)).isTrue();
            assertThat(lease.term(1_005)).isEmpty();
            assertThat(lease.term(Math.min(pauseEnds, 1_000 + TERMS.validityMillis()))).isEmpty();
        }

        @Test
        void shouldNotClaimWhileTheHolderRenews() {
            lease.read(0, new LeaseRecord("other", 0, true, false, 1, Optional.empty()), 1_000);
            lease.caughtUp(1_000);

            assertThat(lease.tick(2_000)).isEmpty();
        }

        // The record of the holder expired before it was read; the holder may still act by it.
        @Test
        void shouldWaitWhenRecordsExpiredUnread() {
            lease.recordsExpired(40, 1_000);
            lease.caughtUp(1_000);

            assertThat(lease.tick(2_000)).isEmpty();
            assertThat(lease.tick(2_500)).isPresent();
        }

        // The process is frozen until after its lease ended, which its monotonic clock does not
        // show. The renewal sent before the freeze is answered right after it. Another process may
        // have become the holder in the meantime.
        @Test
        void shouldNotActWhenAFreezeWasDetected() {
            lease.caughtUp(1_000);
            ConditionalLease.Append claim = lease.tick(1_000).orElseThrow();
            lease.appended(claim.expectedEnd(), 1_004);

            lease.invalidate();

            assertThat(lease.term(1_010)).isEmpty();
        }
    }
}
