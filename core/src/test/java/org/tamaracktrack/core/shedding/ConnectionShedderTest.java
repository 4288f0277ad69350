package org.tamaracktrack.core.shedding;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.SplittableRandom;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Group;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class ConnectionShedderTest {
    private final ConnectionShedder shedder = ConnectionShedder.idle();

    private void tick(int times, long delayMillis, int ownRequests, int peerRequests, int peers) {
        IntStream.range(0, times)
                .forEach(
                        number ->
                                shedder.recordTick(delayMillis, ownRequests, peerRequests, peers));
    }

    @Nested
    class Sheds {

        @Test
        void shouldShedMostConnectionsWhenLateAndCrowded() {
            tick(20, 200, 90, 30, 3);

            assertThat(shedder.ratio()).isAtLeast(0.9);
            assertThat(shedder.sheds(0.5)).isTrue();
        }

        @Test
        void shouldShedNothingWhenInTime() {
            tick(20, 20, 90, 30, 3);

            assertThat(shedder.ratio()).isEqualTo(0);
        }

        // Guards against callers that are sent from one daemon to the next while all are late.
        @Test
        void shouldShedNothingWhenAllDaemonsAreEquallyLoaded() {
            tick(20, 200, 90, 270, 3);

            assertThat(shedder.ratio()).isEqualTo(0);
        }

        @Test
        void shouldShedNothingWhenNoOtherDaemonIsKnown() {
            tick(20, 200, 90, 0, 0);

            assertThat(shedder.ratio()).isEqualTo(0);
        }

        // Guards against a daemon that closes connections since it was frozen once.
        @Test
        void shouldShedFewConnectionsAfterSingleDelay() {
            tick(1, 5_000, 90, 30, 3);
            tick(10, 0, 90, 30, 3);

            assertThat(shedder.ratio()).isAtMost(0.3);
        }

        @Test
        void shouldServeAllConnectionsAgainWhenInTime() {
            tick(20, 200, 90, 30, 3);
            tick(80, 0, 90, 30, 3);

            assertThat(shedder.ratio()).isEqualTo(0);
        }
    }

    /** Most new connections reach one daemon, in virtual time. */
    @Group
    @Nested
    class CrowdedDaemon {
        private static final double MIN_SERVED_SHARE = 0.75;

        // Guards against a daemon that reads every connection, and each of them too late.
        @Property(seed = "5", tries = 100)
        void shouldServeMostRequestsAtTheFirstDaemonThatReadsThem(@ForAll long seed) {
            SplittableRandom random = new SplittableRandom(seed);
            int daemons = 2 + random.nextInt(32);
            double load = 0.2 + 0.4 * random.nextDouble();

            double served = CrowdedDaemonSimulation.servedShare(daemons, load, seed);

            assertWithMessage("%s daemons, load %s", daemons, load)
                    .that(served)
                    .isAtLeast(MIN_SERVED_SHARE);
        }
    }
}
