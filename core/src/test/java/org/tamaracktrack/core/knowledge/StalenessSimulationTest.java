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
import org.tamaracktrack.core.knowledge.StalenessSimulation.Fault;
import org.tamaracktrack.core.knowledge.StalenessSimulation.Parameters;

class StalenessSimulationTest {
    private static final Set<Fault> OUTAGES = EnumSet.of(Fault.OUTAGE, Fault.DISCONNECTION);
    private static final Set<Fault> FULL_LINK = EnumSet.of(Fault.FULL_LINK);
    private static final Set<Fault> OWN_DELAYS =
            EnumSet.of(
                    Fault.CONTROL_LATE,
                    Fault.TRAFFIC_LATE,
                    Fault.PROCESS_LATE,
                    Fault.SLOW_LINK,
                    Fault.CLOCK_STEP,
                    Fault.RESTART,
                    Fault.HOLDER_LOST);

    private static final long SETTLING_MILLIS = 3_000;

    private static Parameters parameters(int daemons, long guaranteeMillis, Set<Fault> faults) {
        return new Parameters(daemons, guaranteeMillis, faults, SETTLING_MILLIS, true, true, true);
    }

    private static void assertGuaranteeHolds(StalenessSimulation simulation) {
        assertWithMessage(simulation.worstSend()).that(simulation.worstExcessMillis()).isAtMost(0);
    }

    private static Set<Fault> union(Set<Fault> some, Set<Fault> others) {
        Set<Fault> all = EnumSet.copyOf(some);
        all.addAll(others);
        return all;
    }

    private static long violations(Parameters parameters) {
        return LongStream.range(0, 12)
                .filter(seed -> StalenessSimulation.run(seed, parameters).worstExcessMillis() > 0)
                .count();
    }

    /** Arbitraries that several test groups share. */
    private abstract static class ParameterProviders {
        @Provide
        Arbitrary<Integer> daemons() {
            return Arbitraries.of(22, 33);
        }

        @Provide
        Arbitrary<Long> guarantees() {
            return Arbitraries.of(2_000L, 3_000L, 4_000L);
        }
    }

    @Nested
    @Group
    class OwnDelays extends ParameterProviders {

        // Guards against requests that a daemon sends to a departed target because of its own
        // delays.
        @Property(seed = "361", tries = 100, shrinking = ShrinkingMode.OFF)
        void shouldSendNothingLateWhenThreadsLinksAndClocksFail(
                @ForAll("daemons") int daemons,
                @ForAll("guarantees") long guaranteeMillis,
                @ForAll @LongRange(max = 1_000_000) long seed) {
            assertGuaranteeHolds(
                    StalenessSimulation.run(
                            seed, parameters(daemons, guaranteeMillis, OWN_DELAYS)));
        }

        // Guards against late requests in a fleet of the largest size.
        @Property(seed = "362", tries = 8, shrinking = ShrinkingMode.OFF)
        void shouldSendNothingLateWhenThereAreManyDaemons(
                @ForAll("guarantees") long guaranteeMillis,
                @ForAll @LongRange(max = 1_000_000) long seed) {
            assertGuaranteeHolds(
                    StalenessSimulation.run(seed, parameters(320, guaranteeMillis, OWN_DELAYS)));
        }

        // Guards against a simulation that passes without the check of the age at the send.
        @Property(seed = "363", tries = 1)
        void shouldViolateGuaranteeWhenAgeIsNotCheckedAtSend() {
            Parameters parameters = parameters(22, 2_000, OWN_DELAYS);

            assertThat(violations(parameters)).isEqualTo(0);
            assertThat(violations(parameters.withoutCheckAtSend())).isAtLeast(10);
        }

        // Guards against a simulation that passes without the distinction between own delays and
        // outages.
        @Property(seed = "364", tries = 1)
        void shouldViolateGuaranteeWhenOwnDelaysAreClassifiedAsOutage() {
            Set<Fault> lateReads =
                    EnumSet.of(
                            Fault.TRAFFIC_LATE,
                            Fault.PROCESS_LATE,
                            Fault.SLOW_LINK,
                            Fault.HOLDER_LOST);
            Parameters parameters = parameters(160, 2_000, lateReads);

            assertThat(violations(parameters)).isEqualTo(0);
            assertThat(violations(parameters.withoutOwnDelayCheck())).isAtLeast(3);
        }
    }

    @Nested
    @Group
    class FullLink extends ParameterProviders {
        // Guards against a daemon that classifies its own full link as an outage.
        @Property(seed = "372", tries = 100, shrinking = ShrinkingMode.OFF)
        void shouldSendNothingLateWhenALinkIsFull(
                @ForAll("daemons") int daemons,
                @ForAll("guarantees") long guaranteeMillis,
                @ForAll @LongRange(max = 1_000_000) long seed) {
            assertGuaranteeHolds(
                    StalenessSimulation.run(seed, parameters(daemons, guaranteeMillis, FULL_LINK)));
        }

        // Guards against a daemon that continues to assume an outage after its end because its link
        // is full.
        @Property(seed = "373", tries = 300, shrinking = ShrinkingMode.OFF)
        void shouldSendNothingLateWhenLinkIsFullAndStoreIsUnavailable(
                @ForAll("daemons") int daemons,
                @ForAll("guarantees") long guaranteeMillis,
                @ForAll @LongRange(max = 1_000_000) long seed) {
            assertGuaranteeHolds(
                    StalenessSimulation.run(
                            seed, parameters(daemons, guaranteeMillis, union(OUTAGES, FULL_LINK))));
        }

        // Guards against a delayed daemon that classifies its own full link as an outage.
        @Property(seed = "376", tries = 100, shrinking = ShrinkingMode.OFF)
        void shouldSendNothingLateWhenALinkIsFullAndDaemonsAreLate(
                @ForAll("daemons") int daemons,
                @ForAll("guarantees") long guaranteeMillis,
                @ForAll @LongRange(max = 1_000_000) long seed) {
            assertGuaranteeHolds(
                    StalenessSimulation.run(
                            seed,
                            parameters(daemons, guaranteeMillis, union(OWN_DELAYS, FULL_LINK))));
        }

        // Guards against a delayed daemon with a full link that continues to assume an outage after
        // its end.
        @Property(seed = "377", tries = 60, shrinking = ShrinkingMode.OFF)
        void shouldSendNothingLateWithAllFaultsExceptFreezes(
                @ForAll("daemons") int daemons,
                @ForAll("guarantees") long guaranteeMillis,
                @ForAll @LongRange(max = 1_000_000) long seed) {
            Set<Fault> faults = union(union(OWN_DELAYS, FULL_LINK), OUTAGES);
            assertGuaranteeHolds(
                    StalenessSimulation.run(seed, parameters(daemons, guaranteeMillis, faults)));
        }

        // Guards against a daemon that classifies late retransmission of lost data as an outage.
        @Property(seed = "375", tries = 100, shrinking = ShrinkingMode.OFF)
        void shouldSendNothingLateWhenLinkRetransmitsLate(
                @ForAll("daemons") int daemons,
                @ForAll("guarantees") long guaranteeMillis,
                @ForAll @LongRange(max = 1_000_000) long seed) {
            Set<Fault> faults = EnumSet.of(Fault.LATE_RETRANSMISSION);
            assertGuaranteeHolds(
                    StalenessSimulation.run(seed, parameters(daemons, guaranteeMillis, faults)));
        }

        // Guards against a simulation that passes without the check of the link.
        @Property(seed = "374", tries = 1)
        void shouldViolateGuaranteeWhenFullLinkIsClassifiedAsOutage() {
            Parameters parameters = parameters(33, 2_000, FULL_LINK);

            assertThat(violations(parameters)).isEqualTo(0);
            assertThat(violations(parameters.withoutLinkCheck())).isAtLeast(10);
        }
    }

    @Nested
    @Group
    class Freezes extends ParameterProviders {

        // Guards against requests that a daemon sends to a departed target after a freeze.
        @Property(seed = "370", tries = 60, shrinking = ShrinkingMode.OFF)
        void shouldSendNothingLateWhenDaemonWasFrozen(
                @ForAll("daemons") int daemons,
                @ForAll("guarantees") long guaranteeMillis,
                @ForAll @LongRange(max = 1_000_000) long seed) {
            Set<Fault> freezes = EnumSet.of(Fault.FREEZE, Fault.HOLDER_LOST, Fault.SLOW_LINK);
            assertGuaranteeHolds(
                    StalenessSimulation.run(seed, parameters(daemons, guaranteeMillis, freezes)));
        }

        // Guards against a batch from the lease holder that waited in a socket during a freeze and
        // is dated by the clock that stood still.
        @Property(seed = "371", tries = 300, shrinking = ShrinkingMode.OFF)
        void shouldSendNothingLateWhenDaemonWasFrozenAndIsDelayed(
                @ForAll("daemons") int daemons,
                @ForAll("guarantees") long guaranteeMillis,
                @ForAll @LongRange(max = 1_000_000) long seed) {
            Set<Fault> faults = EnumSet.copyOf(OWN_DELAYS);
            faults.add(Fault.FREEZE);
            assertGuaranteeHolds(
                    StalenessSimulation.run(seed, parameters(daemons, guaranteeMillis, faults)));
        }
    }

    @Nested
    @Group
    class Outages extends ParameterProviders {

        // Guards against requests that a daemon sends to a departed target after an outage of the
        // store.
        @Property(seed = "365", tries = 60, shrinking = ShrinkingMode.OFF)
        void shouldSendNothingLateWhenStoreIsAvailableAgain(
                @ForAll("daemons") int daemons,
                @ForAll("guarantees") long guaranteeMillis,
                @ForAll @LongRange(max = 1_000_000) long seed) {
            assertGuaranteeHolds(
                    StalenessSimulation.run(seed, parameters(daemons, guaranteeMillis, OUTAGES)));
        }

        // Guards against a daemon that continues to assume an outage after its end because of its
        // own delays.
        @Property(seed = "366", tries = 60, shrinking = ShrinkingMode.OFF)
        void shouldSendNothingLateWhenStoreIsAvailableAgainAndDaemonIsDelayed(
                @ForAll("daemons") int daemons,
                @ForAll("guarantees") long guaranteeMillis,
                @ForAll @LongRange(max = 1_000_000) long seed) {
            Set<Fault> all = union(OWN_DELAYS, OUTAGES);
            assertGuaranteeHolds(
                    StalenessSimulation.run(seed, parameters(daemons, guaranteeMillis, all)));
        }
    }

    @Nested
    @Group
    class Availability extends ParameterProviders {

        /** The time limit of a read, plus the interval at which the age is checked. */
        private static final long FAILED_READ_MILLIS = 700 + 100;

        // Guards against requests that are held although there are no faults.
        @Property(seed = "367", tries = 30, shrinking = ShrinkingMode.OFF)
        void shouldNotHoldRequestsWithoutFaults(
                @ForAll("daemons") int daemons,
                @ForAll("guarantees") long guaranteeMillis,
                @ForAll @LongRange(max = 1_000_000) long seed) {
            Parameters withoutFaults =
                    parameters(daemons, guaranteeMillis, EnumSet.noneOf(Fault.class));

            assertThat(StalenessSimulation.run(seed, withoutFaults).heldRequests()).isEqualTo(0);
        }

        // Guards against held requests without faults in a fleet of the largest size.
        @Property(seed = "368", tries = 2, shrinking = ShrinkingMode.OFF)
        void shouldNotHoldRequestsWhenThereAreManyDaemons(
                @ForAll("guarantees") long guaranteeMillis,
                @ForAll @LongRange(max = 1_000_000) long seed) {
            Parameters withoutFaults =
                    parameters(320, guaranteeMillis, EnumSet.noneOf(Fault.class));

            assertThat(StalenessSimulation.run(seed, withoutFaults).heldRequests()).isEqualTo(0);
        }

        // Guards against a daemon that stops while the store is unavailable.
        @Property(seed = "369", tries = 60, shrinking = ShrinkingMode.OFF)
        void shouldContinueToSendAfterFailedReadWhenStoreIsUnavailable(
                @ForAll("daemons") int daemons,
                @ForAll("guarantees") long guaranteeMillis,
                @ForAll @LongRange(max = 1_000_000) long seed) {
            StalenessSimulation simulation =
                    StalenessSimulation.run(seed, parameters(daemons, guaranteeMillis, OUTAGES));

            assertThat(simulation.longestHoldMillis()).isAtMost(FAILED_READ_MILLIS);
        }
    }
}
