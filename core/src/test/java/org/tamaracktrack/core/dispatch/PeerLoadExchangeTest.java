package org.tamaracktrack.core.dispatch;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/**
 * Simulates many daemons that send to the same engines, each of which sees only a small part of
 * their load.
 */
class PeerLoadExchangeTest {
    private static final long DURATION_MILLIS = 12_000;
    private static final int SEEDS = 3;
    private static final long EXCHANGE_MILLIS = 30;

    /** Requests per second at each engine, at which it is busy most of the time. */
    private static final double HEAVY_REQUESTS_PER_SECOND = 6.5;

    private static final SimulatedFleet.Parameters LARGE =
            new SimulatedFleet.Parameters(
                    33,
                    42,
                    5,
                    16,
                    8,
                    3,
                    HEAVY_REQUESTS_PER_SECOND,
                    0,
                    SimulatedFleet.Machines.EQUAL);

    private static List<SimulatedFleet.Outcome> simulate(SimulatedFleet.Parameters parameters) {
        return IntStream.range(0, SEEDS)
                .mapToObj(seed -> SimulatedFleet.simulate(parameters, DURATION_MILLIS, seed))
                .collect(Collectors.toList());
    }

    private static double lateShare(List<SimulatedFleet.Outcome> outcomes) {
        return outcomes.stream()
                .mapToDouble(outcome -> 1 - outcome.shareInTime())
                .average()
                .orElseThrow();
    }

    private static int mostOutstanding(List<SimulatedFleet.Outcome> outcomes) {
        return outcomes.stream()
                .mapToInt(SimulatedFleet.Outcome::mostOutstanding)
                .max()
                .orElseThrow();
    }

    @Nested
    class HeavyLoad {
        private static final List<SimulatedFleet.Outcome> WITHOUT_EXCHANGE = simulate(LARGE);
        private static final List<SimulatedFleet.Outcome> WITH_EXCHANGE =
                simulate(LARGE.exchanging(EXCHANGE_MILLIS));

        // Guards against daemons that send prompts to engines without knowing the prompts of other
        // daemons there, so that answers are late although the engines together have enough
        // capacity.
        @Test
        void shouldHalveLateRequestsWhenPeersExchangeLoads() {
            assertThat(lateShare(WITH_EXCHANGE)).isLessThan(lateShare(WITHOUT_EXCHANGE) / 2);
        }

        // Guards against a thundering herd, in which all daemons with the same information select
        // the same engine.
        @Test
        void shouldNotCrowdEnginesMoreWhenPeersExchangeLoads() {
            assertThat(mostOutstanding(WITH_EXCHANGE)).isAtMost(mostOutstanding(WITHOUT_EXCHANGE));
        }
    }

    @Nested
    class FewDaemons {
        private final SimulatedFleet.Parameters small =
                new SimulatedFleet.Parameters(
                        4,
                        8,
                        3,
                        64,
                        8,
                        3,
                        1.5 * HEAVY_REQUESTS_PER_SECOND,
                        0,
                        SimulatedFleet.Machines.EQUAL);

        @Test
        void shouldMakeFewerRequestsLateWhenPeersExchangeLoads() {
            assertThat(lateShare(simulate(small.exchanging(EXCHANGE_MILLIS))))
                    .isLessThan(lateShare(simulate(small)));
        }
    }
}
