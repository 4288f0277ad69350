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
import org.tamaracktrack.core.lease.ConditionalLeaseScenario.Act;

class ConditionalLeaseTest {
    private static final Terms TERMS = new Terms(1_300, 450, 3_200, 100);
    private static final String HERE = "10.0.0.1:7000";

    @Group
    @Nested
    class Histories {

        // Four daemons give orders to the same engines. They freeze for seconds, appends take
        // effect without an answer or seconds late, the log is away. Two that give orders within
        // three seconds of each other may load more than an engine holds.
        @Property(seed = "91", tries = 150)
        void shouldLeaveAPauseBetweenTwoHoldersWhateverFails(
                @ForAll @LongRange(max = 1_000_000) long seed) {
            checkPauses(ConditionalLeaseScenario.of(seed, TERMS).run(90_000));
        }

        // As before, with the times that are in force.
        @Property(seed = "93", tries = 150)
        void shouldLeaveAPauseBetweenTwoHoldersByTheTermsInForce(
                @ForAll @LongRange(max = 1_000_000) long seed) {
            checkPauses(ConditionalLeaseScenario.of(seed, Terms.of(3_000, 0)).run(90_000));
        }

        // Guards against two holders of one term, or without a pause between them, after the log
        // came back from a copy: the offsets that terms are made of are given out again, and some
        // processes hear of it seconds after the others.
        @Property(seed = "94", tries = 300)
        void shouldLeaveAPauseBetweenTwoHoldersWhenTheLogComesBackFromACopy(
                @ForAll @LongRange(max = 1_000_000) long seed) {
            checkPauses(ConditionalLeaseScenario.restoring(seed, Terms.of(3_000, 0)).run(90_000));
        }

        @Property(seed = "95", tries = 60)
        void shouldHaveAHolderWhenTheLogHasComeBackFromACopy(
                @ForAll @LongRange(max = 1_000_000) long seed) {
            ConditionalLeaseScenario scenario = ConditionalLeaseScenario.restoring(seed, TERMS);
            scenario.run(30_000);
            scenario.calm();

            assertThat(scenario.run(15_000)).isNotEmpty();
        }

        private static void checkPauses(List<Act> acts) {
            Act before = null;
            for (Act act : acts) {
                if (before != null && !before.process().equals(act.process())) {
                    assertWithMessage("%s then %s", before, act)
                            .that(act.atMillis() - before.atMillis())
                            .isAtLeast(3_000);
                    assertThat(act.term()).isGreaterThan(before.term());
                }
                before = act;
            }
        }

        // After any such history the failures end. Without a holder no model would ever be moved
        // again.
        @Property(seed = "92", tries = 60)
        void shouldHaveAHolderWhenFailuresEnd(@ForAll @LongRange(max = 1_000_000) long seed) {
            ConditionalLeaseScenario scenario = ConditionalLeaseScenario.of(seed, TERMS);
            scenario.run(30_000);
            scenario.calm();

            List<Act> acts = scenario.run(15_000);

            assertThat(acts).isNotEmpty();
        }
    }

    @Nested
    class Claims {
        private final ConditionalLease lease =
                ConditionalLease.of("self", Optional.of(HERE), Optional::empty, TERMS);

        @Test
        void shouldActAtOnceWhenNobodyEverHeld() {
            lease.readAll(1_000);
            ConditionalLease.Append claim = lease.tick(1_000).orElseThrow();

            lease.appended(claim.expectedEnd(), 1_004);

            assertThat(lease.term(1_005)).hasValue(0);
        }

        @Test
        void shouldWaitForThePauseWhenTheHolderBeforeGaveItUp() {
            lease.read(0, new LeaseRecord("other", 0, true, false, 1, Optional.empty()), 1_000);
            lease.read(1, new LeaseRecord("other", 0, false, true, 2, Optional.empty()), 2_000);
            lease.readAll(2_000);
            ConditionalLease.Append claim = lease.tick(2_200).orElseThrow();
            lease.appended(claim.expectedEnd(), 2_204);

            assertThat(lease.term(2_300)).isEmpty();
            assertThat(lease.holds(2_300)).isTrue();
        }

        private void holderHere(long offset, boolean claim, long nowMillis) {
            Optional<ConditionalLease.Contact> here =
                    Optional.of(new ConditionalLease.Contact(HERE, "secret"));
            lease.read(offset, new LeaseRecord("before", 0, claim, false, offset, here), nowMillis);
        }

        // All hosts lose power, the holder's among them. Its successor on the same host starts,
        // reads the whole log and finds its predecessor's last renewal. Callers wait for models
        // that nobody may order, for as long as it waits for a holder that has ended.
        @Test
        void shouldActAtOnceWhenTheHolderWasItsPredecessorOnTheSameHost() {
            holderHere(0, true, 1_000);
            lease.readAll(1_000);
            ConditionalLease.Append claim = lease.tick(1_000).orElseThrow();

            lease.appended(claim.expectedEnd(), 1_004);

            assertThat(lease.term(1_005)).hasValue(1);
        }

        // The predecessor had taken the lease from another host a moment ago and was still waiting
        // out the pause when it ended. The pause goes on for its successor.
        @Test
        void shouldWaitOutThePauseThatItsPredecessorHadBegun() {
            lease.read(0, new LeaseRecord("other", 0, true, false, 1, Optional.empty()), 1_000);
            holderHere(1, true, 1_000);
            holderHere(2, false, 1_000);
            lease.readAll(1_000);
            ConditionalLease.Append claim = lease.tick(1_000).orElseThrow();
            lease.appended(claim.expectedEnd(), 1_004);
            long pauseEnds = 1_000 + TERMS.trust() + TERMS.quiet() - TERMS.renew();

            assertThat(lease.holds(1_005)).isTrue();
            assertThat(lease.term(1_005)).isEmpty();
            assertThat(lease.term(Math.min(pauseEnds, 1_000 + TERMS.trust()))).isEmpty();
        }

        @Test
        void shouldNotClaimWhileTheHolderRenews() {
            lease.read(0, new LeaseRecord("other", 0, true, false, 1, Optional.empty()), 1_000);
            lease.readAll(1_000);

            assertThat(lease.tick(2_000)).isEmpty();
        }

        // The record of the holder was forgotten before it was read; it may still act by it.
        @Test
        void shouldWaitWhenRecordsWereForgotten() {
            lease.skipped(40, 1_000);
            lease.readAll(1_000);

            assertThat(lease.tick(2_000)).isEmpty();
            assertThat(lease.tick(2_500)).isPresent();
        }

        // The process is frozen past its lease; its steady clock shows nothing of it. The renewal
        // that it has sent is answered right after. Another process may have begun meanwhile.
        @Test
        void shouldNotActWhenAFreezeWasNoticed() {
            lease.readAll(1_000);
            ConditionalLease.Append claim = lease.tick(1_000).orElseThrow();
            lease.appended(claim.expectedEnd(), 1_004);

            lease.distrust();

            assertThat(lease.term(1_010)).isEmpty();
        }
    }
}
